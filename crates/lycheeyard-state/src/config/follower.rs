use super::{ConfigUpdate, Configuration, PeerUpdate, RelayedTicket};
use crate::StateError;
use lycheeyard_protocol::Revision;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::watch;

/// The number of tickets kept for peers that are behind.
const MAX_KEPT_TICKETS: usize = 128;

/// The configuration in force at one instance. It only moves to later revisions.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    config: watch::Sender<Arc<Configuration>>,
    kept: Arc<Mutex<VecDeque<RelayedTicket>>>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self {
            config: watch::Sender::new(Arc::default()),
            kept: Arc::default(),
        }
    }
}

impl ConfigFollower {
    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<Configuration> {
        self.config.borrow().clone()
    }

    /// Follows the configuration in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.config.subscribe()
    }

    /// Puts a newer configuration in force and tells whether it was newer.
    #[must_use]
    pub fn advance(&self, update: ConfigUpdate) -> bool {
        let mut kept = self.lock();
        let advanced = self.config.send_if_modified(|present| {
            if update.config.revision <= present.revision {
                return false;
            }
            *present = Arc::new(update.config);
            true
        });
        if advanced {
            keep(&mut kept, update.tickets, self.current().revision);
        }
        advanced
    }

    /// What a peer at an older revision needs, or nothing if it is not behind.
    #[must_use]
    pub fn update_after(&self, revision: Revision) -> Option<PeerUpdate> {
        let kept = self.lock();
        let config = self.current();
        if config.revision <= revision {
            return None;
        }
        let next = revision.next();
        let reaches_back = kept
            .front()
            .is_some_and(|first| first.accepted.revision <= next);
        if !reaches_back {
            return Some(PeerUpdate::Whole(Box::new((*config).clone())));
        }
        let missing = kept
            .iter()
            .filter(|relayed| relayed.accepted.revision > revision);
        Some(PeerUpdate::Tickets(missing.cloned().collect()))
    }

    /// Applies what a peer sent and tells whether it was newer.
    ///
    /// # Errors
    /// Fails when the tickets do not continue the configuration in force.
    pub fn apply_peer_update(&self, update: PeerUpdate) -> Result<bool, StateError> {
        match update {
            PeerUpdate::Whole(config) => Ok(self.advance(ConfigUpdate {
                config: *config,
                tickets: Vec::new(),
            })),
            PeerUpdate::Tickets(tickets) => {
                let update = apply_tickets(&self.current(), tickets)?;
                Ok(self.advance(update))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<RelayedTicket>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn apply_tickets(
    known: &Configuration,
    tickets: Vec<RelayedTicket>,
) -> Result<ConfigUpdate, StateError> {
    let mut config = known.clone();
    let mut applied = Vec::new();
    for relayed in tickets {
        let revision = relayed.accepted.revision;
        if revision <= config.revision {
            continue;
        }
        if revision != config.revision.next() {
            return Err(StateError::Gap {
                known: config.revision,
                next: revision,
            });
        }
        config = config.apply(&relayed.ticket, revision)?;
        applied.push(relayed);
    }
    Ok(ConfigUpdate {
        config,
        tickets: applied,
    })
}

/// Keeps the tickets only as one run without gaps that ends at `revision`.
fn keep(kept: &mut VecDeque<RelayedTicket>, tickets: Vec<RelayedTicket>, revision: Revision) {
    for relayed in tickets {
        let next = kept.back().map(|last| last.accepted.revision.next());
        if next.is_some_and(|next| next > relayed.accepted.revision) {
            continue;
        }
        if next != Some(relayed.accepted.revision) {
            kept.clear();
        }
        kept.push_back(relayed);
    }
    if kept.back().map(|last| last.accepted.revision) != Some(revision) {
        kept.clear();
    }
    while kept.len() > MAX_KEPT_TICKETS {
        kept.pop_front();
    }
}
