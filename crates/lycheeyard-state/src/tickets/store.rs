use super::{
    TicketOutcome,
    head::{HEAD_KEY, StoredHead},
    history::{create, read_pages},
    snapshot::read_snapshot,
    swap::{SwapOutcome, outcome},
};
use crate::{
    AcceptedTicket, ConfigHead, ConfigUpdate, Configuration, RelayedTicket, StateError,
    error::decode,
};
use lycheeyard_clients::{CallClass, Store};
use lycheeyard_protocol::{
    Digest, Revision, Ticket, TicketError, TicketNumber, platform::WatchRequest,
};
use std::time::Duration;
use tokio::time::Instant;

const MAX_ATTEMPTS: usize = 16;
const PAGE_TICKETS: usize = 64;
/// The number of pages in the head's tail at which the head must be compacted before the next acceptance.
const MAX_TAIL_PAGES: usize = 8;

/// Accepts tickets and reads the configuration that results from them.
#[derive(Clone, Debug)]
pub struct TicketStore<S> {
    pub(super) store: S,
    page_length: usize,
}

impl<S: Store> TicketStore<S> {
    /// Creates a ticket store on the platform's store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self::with_page_length(store, PAGE_TICKETS)
    }

    /// Creates a ticket store with pages of `page_length` tickets; the head normally keeps one to two pages.
    #[must_use]
    pub fn with_page_length(store: S, page_length: usize) -> Self {
        Self { store, page_length }
    }

    /// Accepts a ticket or returns the reason for its rejection. `known` is the configuration in force at this
    /// instance; `check` validates the configuration that would result from the ticket.
    ///
    /// # Errors
    /// Fails with [`StateError::Unknown`] when the ticket may have been accepted or may still be accepted. Any
    /// other error means that this call did not accept it and cannot do so later.
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
        for _ in 0..MAX_ATTEMPTS {
            if let Some(accepted) = self.find_at_head(&head, ticket.number, deadline).await? {
                return repeated_outcome(ticket, &accepted);
            }
            if head.content.tail.len() >= MAX_TAIL_PAGES * self.page_length {
                self.compact_head(head, &known, deadline).await?;
                head = StoredHead::read(&self.store, deadline).await?;
                continue;
            }
            let update = self.catch_up(known, &head.content, deadline).await?;
            known = update.config;
            let next = known.apply(ticket, head.content.revision.next(), None)?;
            check(&next)?;
            let key = body_key(ticket.number, &ticket.digest());
            create(&self.store, key, ticket, deadline).await?;
            match self.swap_head(ticket, head, deadline).await? {
                SwapOutcome::Accepted(outcome) => return Ok(outcome),
                SwapOutcome::LostRace(present) => head = present,
            }
        }
        Err(StateError::Contended(HEAD_KEY.to_owned()))
    }

    /// Applies all tickets accepted since `known`. Returns the new configuration with these tickets.
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

    /// Waits up to `wait` until the head is newer than a store version. Returns its new version and revision, or
    /// `None` after the wait.
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

    /// The most recently accepted tickets, oldest first.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn recent(&self, deadline: Instant) -> Result<Vec<AcceptedTicket>, StateError> {
        let head = StoredHead::read(&self.store, deadline).await?;
        Ok(head.content.tail)
    }

    /// Accepted tickets that have moved to history pages, in order: at most `pages` pages after the page that
    /// starts at revision `after`, or from the beginning.
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

    /// The accepted ticket with a number, of any age.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn find(
        &self,
        number: TicketNumber,
        deadline: Instant,
    ) -> Result<Option<AcceptedTicket>, StateError> {
        let head = StoredHead::read(&self.store, deadline).await?;
        self.find_at_head(&head, number, deadline).await
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
            config = config.apply(&ticket, accepted.revision, accepted.accepted_at)?;
            let accepted = accepted.clone();
            tickets.push(RelayedTicket { accepted, ticket });
        }
        Ok(ConfigUpdate { config, tickets })
    }
}

fn body_key(number: TicketNumber, digest: &Digest) -> String {
    format!("tickets/{number}/{digest}")
}

fn repeated_outcome(
    ticket: &Ticket,
    accepted: &AcceptedTicket,
) -> Result<TicketOutcome, StateError> {
    if accepted.digest != ticket.digest() {
        return Err(StateError::Ticket(TicketError::NumberTaken {
            number: ticket.number,
            winner: accepted.digest.clone(),
        }));
    }
    Ok(outcome(accepted, true))
}
