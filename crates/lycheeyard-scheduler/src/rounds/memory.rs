use crate::steps::Settled;
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::WorkerId;
use lycheeyard_state::HeldLease;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// What the rounds of one epoch remember.
#[derive(Debug, Default)]
pub struct Memory {
    /// The lease.
    pub epoch: Option<HeldLease>,
    /// When the epoch was first seen.
    pub taken_at: Option<Instant>,
    /// When the last call that changes a job's tasks was sent.
    pub effects: BTreeMap<JobKey, Instant>,
    /// Until when a job is left alone.
    pub paused: BTreeMap<JobKey, Instant>,
    /// The jobs with a step that runs.
    pub in_flight: BTreeSet<JobKey>,
    /// Until when a worker is not asked again to stop unnamed tasks.
    pub orphans_asked: BTreeMap<WorkerId, Instant>,
    /// When usage is charged next.
    pub charge_at: Option<Instant>,
    /// When the next plan is due while no job is queued.
    pub idle_plan_at: Option<Instant>,
    /// Until when the book is left alone.
    pub book_until: Option<Instant>,
}

impl Memory {
    /// Tells whether the epoch is new.
    pub fn enter(&mut self, held: HeldLease, now: Instant) -> bool {
        let is_new = self.epoch.is_none_or(|known| known.epoch != held.epoch);
        if is_new {
            self.taken_at = Some(now);
            self.effects.clear();
            self.paused.clear();
        }
        self.epoch = Some(held);
        is_new
    }

    /// Whether no step of the job runs and none is put off.
    pub fn is_free(&self, key: &JobKey) -> bool {
        !self.in_flight.contains(key) && !self.paused.contains_key(key)
    }

    /// Takes the result of a step in.
    pub fn settle(&mut self, settled: Option<Settled>) {
        let Some(settled) = settled else { return };
        self.in_flight.remove(&settled.key);
        if let Some(at) = settled.effect_at {
            self.effects.insert(settled.key.clone(), at);
        }
        if !settled.pause.is_zero() {
            let until = Instant::now() + settled.pause;
            self.paused.insert(settled.key, until);
        }
    }
}
