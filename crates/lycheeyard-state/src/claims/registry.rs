use lycheeyard_protocol::Nonce;
use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

const MAX_ENTRIES: usize = 50_000;

/// The progress of a claim that this instance made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimProgress {
    /// The request may be sent or has been.
    InProgress,
    /// The request was not sent and never will be.
    Abandoned,
    /// The request was sent, and this instance no longer waits for its answer.
    Finished,
}

#[derive(Debug, Default)]
struct Entries {
    progress: BTreeMap<Nonce, ClaimProgress>,
    order: VecDeque<Nonce>,
}

/// The latest claims that this instance has made, at most 50,000.
///
/// A claim that is no longer in the registry is never treated as abandoned.
#[derive(Clone, Debug, Default)]
pub struct ClaimRegistry {
    entries: Arc<Mutex<Entries>>,
}

impl ClaimRegistry {
    /// Records the progress of a claim; removes the oldest claim if the registry is full.
    pub fn set(&self, nonce: &Nonce, progress: ClaimProgress) {
        let mut entries = self.lock();
        if entries.progress.insert(nonce.clone(), progress).is_some() {
            return;
        }
        entries.order.push_back(nonce.clone());
        if entries.order.len() > MAX_ENTRIES
            && let Some(oldest) = entries.order.pop_front()
        {
            entries.progress.remove(&oldest);
        }
    }

    /// The progress of a claim, if it is in the registry.
    #[must_use]
    pub fn get(&self, nonce: &Nonce) -> Option<ClaimProgress> {
        self.lock().progress.get(nonce).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
