use super::{
    TicketOutcome, TicketStore,
    head::{HEAD_KEY, StoredHead},
    history::find_number,
};
use crate::{AcceptedTicket, StateError, error::encode, make_nonce};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::{
    Ticket, TicketNumber, Timestamp,
    platform::{KeyValue, WriteRequest},
};
use tokio::time::Instant;

/// The outcome of one attempt to swap the head.
pub(super) enum SwapOutcome {
    /// The ticket is accepted.
    Accepted(TicketOutcome),
    /// Another ticket was accepted instead; this is the head now.
    LostRace(StoredHead),
}

impl<S: Store> TicketStore<S> {
    /// Looks up an accepted ticket after `head` was read. A ticket that had been removed from the tail before is
    /// found under its number's own key. If the ticket is accepted or removed from the tail after that read, the
    /// swap of this head fails.
    pub(super) async fn find_at_head(
        &self,
        head: &StoredHead,
        number: TicketNumber,
        deadline: Instant,
    ) -> Result<Option<AcceptedTicket>, StateError> {
        if let Some(accepted) = head.content.find(number) {
            return Ok(Some(accepted.clone()));
        }
        if head.content.snapshot.is_none() {
            return Ok(None);
        }
        find_number(&self.store, number, deadline).await
    }

    /// Replaces `head` by one with the ticket.
    pub(super) async fn swap_head(
        &self,
        ticket: &Ticket,
        head: StoredHead,
        deadline: Instant,
    ) -> Result<SwapOutcome, StateError> {
        let mut content = head.content;
        content.revision = content.revision.next();
        content.nonce = Some(make_nonce()?);
        let accepted = AcceptedTicket {
            revision: content.revision,
            number: ticket.number,
            digest: ticket.digest(),
            accepted_at: Some(Timestamp::now()),
        };
        content.tail.push(accepted.clone());
        let req = WriteRequest {
            key: HEAD_KEY.to_owned(),
            value: Some(encode(HEAD_KEY, &content)?),
            expect: head.expect,
            expires_in_ms: None,
        };
        let written = self
            .store
            .write_until_resolved(CallClass::Ticket, req, deadline);
        let present = match written.await? {
            ResolvedWrite::Applied(_) => {
                return Ok(SwapOutcome::Accepted(outcome(&accepted, false)));
            }
            ResolvedWrite::Unknown => return Err(StateError::Unknown),
            ResolvedWrite::Conflict(present) => return lost_race(present.as_ref()),
            ResolvedWrite::Replaced(present) => StoredHead::of(present.as_ref())?,
        };
        let found = self.find_at_head(&present, ticket.number, deadline).await;
        // The swap may have been applied and then replaced by another one. If the look-up fails, the outcome is
        // unknown.
        let found = found.map_err(|_| StateError::Unknown)?;
        if found.as_ref() == Some(&accepted) {
            return Ok(SwapOutcome::Accepted(outcome(&accepted, false)));
        }
        Ok(SwapOutcome::LostRace(present))
    }
}

fn lost_race(present: Option<&KeyValue>) -> Result<SwapOutcome, StateError> {
    Ok(SwapOutcome::LostRace(StoredHead::of(present)?))
}

pub(super) fn outcome(accepted: &AcceptedTicket, repeated: bool) -> TicketOutcome {
    TicketOutcome {
        number: accepted.number,
        revision: accepted.revision,
        repeated,
    }
}
