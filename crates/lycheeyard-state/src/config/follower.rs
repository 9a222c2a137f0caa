use super::{ConfigUpdate, Configuration, PeerUpdate, RelayedTicket};
use crate::StateError;
use lycheeyard_protocol::Revision;
use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::sync::watch;
use tracing::info;

/// The maximum number of tickets kept for peers at an older revision.
const MAX_KEPT_TICKETS: usize = 128;

/// The configuration in force at one instance. Its revision never decreases.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    config: watch::Sender<Arc<Configuration>>,
    recent: Arc<Mutex<VecDeque<RelayedTicket>>>,
}

impl Default for ConfigFollower {
    fn default() -> Self {
        Self {
            config: watch::Sender::new(Arc::default()),
            recent: Arc::default(),
        }
    }
}

impl ConfigFollower {
    /// The configuration in force.
    #[must_use]
    pub fn current(&self) -> Arc<Configuration> {
        self.config.borrow().clone()
    }

    /// Subscribes to changes of the configuration in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Arc<Configuration>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force if it is newer. Returns whether it was.
    #[must_use]
    pub fn advance(&self, update: ConfigUpdate) -> bool {
        let mut recent = self.lock();
        let advanced = self.config.send_if_modified(|present| {
            if update.config.revision <= present.revision {
                return false;
            }
            log_evacuations(present, &update.config);
            *present = Arc::new(update.config);
            true
        });
        if advanced {
            extend_recent(&mut recent, update.tickets, self.current().revision);
        }
        advanced
    }

    /// The update for a peer at the given revision; `None` if that revision is not older than the one in force.
    #[must_use]
    pub fn update_after(&self, revision: Revision) -> Option<PeerUpdate> {
        let recent = self.lock();
        let config = self.current();
        if config.revision <= revision {
            return None;
        }
        let next = revision.next();
        let has_next = recent
            .front()
            .is_some_and(|first| first.accepted.revision <= next);
        if !has_next {
            return Some(PeerUpdate::Whole(Box::new((*config).clone())));
        }
        let missing = recent
            .iter()
            .filter(|relayed| relayed.accepted.revision > revision);
        Some(PeerUpdate::Tickets(missing.cloned().collect()))
    }

    /// Applies an update from a peer. Returns whether it was newer.
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
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs each evacuation that comes into force or ends here with the step from one configuration to the next.
fn log_evacuations(present: &Configuration, next: &Configuration) {
    for (id, start) in &next.evacuations {
        if !present.is_evacuated(id) {
            info!(
                "config: data centre {id} is evacuated by ticket {}; it gets no new work",
                start.ticket
            );
        }
    }
    for id in present.evacuations.keys() {
        if !next.is_evacuated(id) {
            info!("config: the evacuation of data centre {id} has ended");
        }
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
        config = config.apply(&relayed.ticket, revision, relayed.accepted.accepted_at)?;
        applied.push(relayed);
    }
    Ok(ConfigUpdate {
        config,
        tickets: applied,
    })
}

/// Appends tickets to the recent ones. Clears the recent tickets unless they form a sequence without gaps that
/// ends at `revision`.
fn extend_recent(
    recent: &mut VecDeque<RelayedTicket>,
    tickets: Vec<RelayedTicket>,
    revision: Revision,
) {
    for relayed in tickets {
        let next = recent.back().map(|last| last.accepted.revision.next());
        if next.is_some_and(|next| next > relayed.accepted.revision) {
            continue;
        }
        if next != Some(relayed.accepted.revision) {
            recent.clear();
        }
        recent.push_back(relayed);
    }
    if recent.back().map(|last| last.accepted.revision) != Some(revision) {
        recent.clear();
    }
    while recent.len() > MAX_KEPT_TICKETS {
        recent.pop_front();
    }
}
