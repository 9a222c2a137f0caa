use super::{
    TicketOutcome,
    head::{HEAD_KEY, StoredHead},
    history::{create, find_number, read_pages},
    snapshot::read_snapshot,
};
use crate::{
    AcceptedTicket, ConfigHead, ConfigUpdate, Configuration, RelayedTicket, StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::{
    Digest, Revision, Ticket, TicketError, TicketNumber,
    platform::{KeyValue, WatchRequest, WriteRequest},
};
use std::time::Duration;
use tokio::time::Instant;

const MAX_RACES: usize = 16;
const PAGE_LENGTH: usize = 64;
/// The number of pages in the head's tail that no acceptance may exceed.
const MAX_TAIL_PAGES: usize = 8;

/// Accepts tickets and reads the configuration that they make.
#[derive(Clone, Debug)]
pub struct TicketStore<S> {
    store: S,
    page_length: usize,
}

/// What became of one attempt to swap the head.
enum SwapStep {
    Accepted(TicketOutcome),
    Raced(StoredHead),
}

impl<S: Store> TicketStore<S> {
    /// Makes a ticket store on the platform's store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self::with_page_length(store, PAGE_LENGTH)
    }

    /// Makes a ticket store that keeps between one and two pages of this many tickets in the head.
    #[must_use]
    pub fn with_page_length(store: S, page_length: usize) -> Self {
        Self { store, page_length }
    }

    /// Accepts a ticket, or says why not. `known` is the configuration in force here; `check` sees the
    /// configuration that the ticket would make.
    ///
    /// # Errors
    /// Fails with [`StateError::Unknown`] when the ticket may have been accepted or may yet be. All other
    /// errors say that this call did not accept it and cannot do so later.
    pub async fn submit(
        &self,
        ticket: &Ticket,
        known: &Configuration,
        check: impl Fn(&Configuration) -> Result<(), TicketError>,
        deadline: Instant,
    ) -> Result<TicketOutcome, StateError> {
        ticket.check()?;
        let mut known = known.clone();
        let mut head = StoredHead::read(&self.store, deadline).await?;
        for _ in 0..MAX_RACES {
            if let Some(accepted) = self.find_under(&head, ticket.number, deadline).await? {
                return repeat(ticket, &accepted);
            }
            if head.content.tail.len() >= MAX_TAIL_PAGES * self.page_length {
                self.compact_head(head, &known, deadline).await?;
                head = StoredHead::read(&self.store, deadline).await?;
                continue;
            }
            let update = self.catch_up(known, &head.content, deadline).await?;
            known = update.config;
            let next = known.apply(ticket, head.content.revision.next())?;
            check(&next)?;
            let key = body_key(ticket.number, &ticket.digest());
            create(&self.store, key, ticket, deadline).await?;
            match self.swap_head(ticket, head, deadline).await? {
                SwapStep::Accepted(outcome) => return Ok(outcome),
                SwapStep::Raced(present) => head = present,
            }
        }
        Err(StateError::Contended(HEAD_KEY.to_owned()))
    }

    /// The configuration that follows `known` by all tickets accepted since, with these tickets.
    ///
    /// # Errors
    /// Fails when the store does not answer or a stored value cannot be read.
    pub async fn pull(
        &self,
        known: Configuration,
        deadline: Instant,
    ) -> Result<ConfigUpdate, StateError> {
        let head = StoredHead::read(&self.store, deadline).await?;
        self.catch_up(known, &head.content, deadline).await
    }

    /// Waits until the head is newer than a store version, then gives its new version and revision.
    ///
    /// # Errors
    /// Fails when the store does not answer before `deadline`.
    pub async fn watch(
        &self,
        after_version: u64,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Option<(u64, Revision)>, StateError> {
        let req = WatchRequest {
            prefix: HEAD_KEY.to_owned(),
            after_version,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let reply = self.store.watch(CallClass::Ticket, req, deadline).await?;
        let entry = reply.entries.iter().find(|entry| entry.key == HEAD_KEY);
        let Some(entry) = entry else { return Ok(None) };
        let head = StoredHead::of(Some(entry))?;
        Ok(Some((head.version(), head.content.revision)))
    }

    /// The tickets accepted last, oldest first.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn recent(&self, deadline: Instant) -> Result<Vec<AcceptedTicket>, StateError> {
        let head = StoredHead::read(&self.store, deadline).await?;
        Ok(head.content.tail)
    }

    /// Older accepted tickets in order: at most `pages` history pages after the page that starts at
    /// revision `after`, or from the beginning.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn history(
        &self,
        after: Option<Revision>,
        pages: usize,
        deadline: Instant,
    ) -> Result<Vec<AcceptedTicket>, StateError> {
        read_pages(&self.store, after, pages, deadline).await
    }

    /// The accepted ticket of a number, however old.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn find(
        &self,
        number: TicketNumber,
        deadline: Instant,
    ) -> Result<Option<AcceptedTicket>, StateError> {
        let head = StoredHead::read(&self.store, deadline).await?;
        self.find_under(&head, number, deadline).await
    }

    /// The content of an accepted ticket.
    ///
    /// # Errors
    /// Fails when the store does not answer or the body cannot be read.
    pub async fn body(
        &self,
        accepted: &AcceptedTicket,
        deadline: Instant,
    ) -> Result<Ticket, StateError> {
        let key = body_key(accepted.number, &accepted.digest);
        let entry = self.store.get(CallClass::Ticket, &key, deadline).await?;
        let missing = || StateError::Corrupt {
            key: key.clone(),
            reason: "the body of an accepted ticket is missing".to_owned(),
        };
        decode(&key, &entry.ok_or_else(missing)?.value)
    }

    pub(super) fn store(&self) -> &S {
        &self.store
    }

    pub(super) fn page_length(&self) -> usize {
        self.page_length
    }

    pub(super) async fn catch_up(
        &self,
        known: Configuration,
        head: &ConfigHead,
        deadline: Instant,
    ) -> Result<ConfigUpdate, StateError> {
        let mut config = known;
        let mut tickets = Vec::new();
        if let Some(pointer) = &head.snapshot
            && config.revision < head.tail_base()
        {
            config = read_snapshot(&self.store, pointer, deadline).await?;
        }
        for accepted in &head.tail {
            if accepted.revision <= config.revision {
                continue;
            }
            let ticket = self.body(accepted, deadline).await?;
            config = config.apply(&ticket, accepted.revision)?;
            let accepted = accepted.clone();
            tickets.push(RelayedTicket { accepted, ticket });
        }
        Ok(ConfigUpdate { config, tickets })
    }

    /// Looks a number up after `head` was read. A number that left the tail before has its own entry
    /// by then, and one that is accepted or leaves later makes the swap of this head fail.
    async fn find_under(
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

    async fn swap_head(
        &self,
        ticket: &Ticket,
        head: StoredHead,
        deadline: Instant,
    ) -> Result<SwapStep, StateError> {
        let mut content = head.content;
        content.revision = content.revision.next();
        content.nonce = Some(make_nonce()?);
        let accepted = AcceptedTicket {
            revision: content.revision,
            number: ticket.number,
            digest: ticket.digest(),
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
                return Ok(SwapStep::Accepted(outcome(&accepted, false)));
            }
            ResolvedWrite::Unknown => return Err(StateError::Unknown),
            ResolvedWrite::Conflict(present) => return raced(present.as_ref()),
            ResolvedWrite::Replaced(present) => StoredHead::of(present.as_ref())?,
        };
        let found = self.find_under(&present, ticket.number, deadline).await;
        // The swap may have been applied and replaced: without this look-up nothing is known.
        let found = found.map_err(|_| StateError::Unknown)?;
        if found.as_ref() == Some(&accepted) {
            return Ok(SwapStep::Accepted(outcome(&accepted, false)));
        }
        Ok(SwapStep::Raced(present))
    }
}

fn raced(present: Option<&KeyValue>) -> Result<SwapStep, StateError> {
    Ok(SwapStep::Raced(StoredHead::of(present)?))
}

fn body_key(number: TicketNumber, digest: &Digest) -> String {
    format!("tickets/{number}/{digest}")
}

fn outcome(accepted: &AcceptedTicket, repeated: bool) -> TicketOutcome {
    TicketOutcome {
        number: accepted.number,
        revision: accepted.revision,
        repeated,
    }
}

fn repeat(ticket: &Ticket, accepted: &AcceptedTicket) -> Result<TicketOutcome, StateError> {
    if accepted.digest != ticket.digest() {
        return Err(StateError::Ticket(TicketError::NumberTaken {
            number: ticket.number,
            winner: accepted.digest.clone(),
        }));
    }
    Ok(outcome(accepted, true))
}
