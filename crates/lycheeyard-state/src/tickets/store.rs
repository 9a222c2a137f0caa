use super::TicketOutcome;
use crate::{
    AcceptedTicket, ConfigHead, Configuration, StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_platform::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{
    Ticket, TicketError,
    platform::{Expectation, KeyValue},
};
use tokio::time::Instant;

const HEAD_KEY: &str = "config/head";
const MAX_RACES: usize = 16;

/// Accepts tickets and reads the configuration that they make.
#[derive(Clone, Debug)]
pub struct TicketStore<S> {
    store: S,
}

/// What became of one attempt to swap the head.
enum SwapStep {
    Accepted(TicketOutcome),
    Raced,
}

struct Head {
    content: ConfigHead,
    expect: Expectation,
}

impl<S: Store> TicketStore<S> {
    /// Makes a ticket store on the platform's store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Accepts a ticket, or says why not. `check` sees the configuration that the ticket would make.
    ///
    /// # Errors
    /// Fails when the ticket is refused, the store is out of reach, or the outcome cannot be learnt.
    pub async fn submit(
        &self,
        ticket: &Ticket,
        check: impl Fn(&Configuration) -> Result<(), TicketError>,
        deadline: Instant,
    ) -> Result<TicketOutcome, StateError> {
        ticket.check()?;
        let mut known = Configuration::default();
        for _ in 0..MAX_RACES {
            let head = self.read_head(deadline).await?;
            if let Some(accepted) = head.content.find(ticket.number) {
                return repeat(ticket, accepted);
            }
            known = self.catch_up(known, &head.content, deadline).await?;
            let next = known.apply(ticket, head.content.revision.next())?;
            check(&next)?;
            self.write_body(ticket, deadline).await?;
            match self.swap_head(ticket, head, deadline).await? {
                SwapStep::Accepted(outcome) => return Ok(outcome),
                SwapStep::Raced => {}
            }
        }
        Err(StateError::Contended(HEAD_KEY.to_owned()))
    }

    /// The configuration that follows `known` by all tickets accepted since.
    ///
    /// # Errors
    /// Fails when the store does not answer or a stored value cannot be read.
    pub async fn pull(
        &self,
        known: Configuration,
        deadline: Instant,
    ) -> Result<Configuration, StateError> {
        let head = self.read_head(deadline).await?;
        self.catch_up(known, &head.content, deadline).await
    }

    /// The accepted tickets, oldest first.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn accepted(&self, deadline: Instant) -> Result<Vec<AcceptedTicket>, StateError> {
        Ok(self.read_head(deadline).await?.content.accepted)
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
        let key = body_key(accepted);
        let entry = self.store.get(CallClass::Ticket, &key, deadline).await?;
        let missing = || StateError::Corrupt {
            key: key.clone(),
            reason: "the body of an accepted ticket is missing".to_owned(),
        };
        decode(&key, &entry.ok_or_else(missing)?.value)
    }

    async fn read_head(&self, deadline: Instant) -> Result<Head, StateError> {
        let entry = self
            .store
            .get(CallClass::Ticket, HEAD_KEY, deadline)
            .await?;
        entry.map_or_else(
            || {
                Ok(Head {
                    content: ConfigHead::default(),
                    expect: Expectation::Absent,
                })
            },
            |entry| read_entry(&entry),
        )
    }

    async fn catch_up(
        &self,
        known: Configuration,
        head: &ConfigHead,
        deadline: Instant,
    ) -> Result<Configuration, StateError> {
        let mut config = known;
        for accepted in &head.accepted {
            if accepted.revision <= config.revision {
                continue;
            }
            let ticket = self.body(accepted, deadline).await?;
            config = config.apply(&ticket, accepted.revision)?;
        }
        Ok(config)
    }

    async fn write_body(&self, ticket: &Ticket, deadline: Instant) -> Result<(), StateError> {
        let key = format!("tickets/{}/{}", ticket.number, ticket.digest());
        let value = encode(&key, ticket)?;
        let written = self
            .store
            .put(CallClass::Ticket, key, value, Expectation::Absent, deadline)
            .await?;
        match written {
            WriteOutcome::Applied(_) | WriteOutcome::Conflict(Some(_)) => Ok(()),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => Err(StateError::Unknown),
        }
    }

    async fn swap_head(
        &self,
        ticket: &Ticket,
        head: Head,
        deadline: Instant,
    ) -> Result<SwapStep, StateError> {
        let nonce = make_nonce()?;
        let mut content = head.content;
        content.revision = content.revision.next();
        content.nonce = Some(nonce);
        content.accepted.push(AcceptedTicket {
            revision: content.revision,
            number: ticket.number,
            digest: ticket.digest(),
        });
        let value = encode(HEAD_KEY, &content)?;
        let written = self
            .store
            .put(
                CallClass::Ticket,
                HEAD_KEY.to_owned(),
                value,
                head.expect,
                deadline,
            )
            .await?;
        match written {
            WriteOutcome::Applied(_) => Ok(SwapStep::Accepted(TicketOutcome {
                number: ticket.number,
                revision: content.revision,
                repeated: false,
            })),
            WriteOutcome::Conflict(_) => Ok(SwapStep::Raced),
            WriteOutcome::Unknown => self.read_back(ticket, deadline).await,
        }
    }

    async fn read_back(&self, ticket: &Ticket, deadline: Instant) -> Result<SwapStep, StateError> {
        let head = self
            .read_head(deadline)
            .await
            .map_err(|_| StateError::Unknown)?;
        match head.content.find(ticket.number) {
            Some(accepted) => repeat(ticket, accepted).map(SwapStep::Accepted),
            None => Err(StateError::Unknown),
        }
    }
}

fn read_entry(entry: &KeyValue) -> Result<Head, StateError> {
    Ok(Head {
        content: decode(HEAD_KEY, &entry.value)?,
        expect: Expectation::Version(entry.version),
    })
}

fn body_key(accepted: &AcceptedTicket) -> String {
    format!("tickets/{}/{}", accepted.number, accepted.digest)
}

fn repeat(ticket: &Ticket, accepted: &AcceptedTicket) -> Result<TicketOutcome, StateError> {
    if accepted.digest != ticket.digest() {
        return Err(StateError::Ticket(TicketError::NumberTaken {
            number: ticket.number,
            winner: accepted.digest.clone(),
        }));
    }
    Ok(TicketOutcome {
        number: ticket.number,
        revision: accepted.revision,
        repeated: true,
    })
}
