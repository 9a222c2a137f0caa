use crate::steps::StepOutcome;
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::WorkerId;
use lycheeyard_state::HeldLease;
use std::collections::{BTreeMap, BTreeSet};
use tokio::time::Instant;

/// State that the scheduling rounds keep from one round to the next.
#[derive(Debug, Default)]
pub struct SchedulingState {
    /// The scheduler lease as the last round saw it.
    pub held: Option<HeldLease>,
    /// When the first round of the current epoch ran.
    pub first_round_at: Option<Instant>,
    /// When the last call that may have changed a job's tasks was sent.
    pub effect_sent_at: BTreeMap<JobKey, Instant>,
    /// Until when no step starts for a job, after an error or a failed preparation.
    pub paused_until: BTreeMap<JobKey, Instant>,
    /// The jobs that have a step in flight.
    pub in_flight: BTreeSet<JobKey>,
    /// When the next stop of orphaned tasks may be sent to a worker.
    pub orphan_retry_at: BTreeMap<WorkerId, Instant>,
    /// When usage is next charged to the organisations.
    pub next_charge_at: Option<Instant>,
    /// When the next plan is due if no job is queued.
    pub next_idle_plan_at: Option<Instant>,
    /// When the statistics may next be loaded or saved.
    pub next_sync_at: Option<Instant>,
}

impl SchedulingState {
    /// Records the lease and returns whether its epoch is new; a new epoch clears the jobs' effects and pauses.
    pub fn observe_lease(&mut self, held: HeldLease, now: Instant) -> bool {
        let is_new = self.held.is_none_or(|last| last.epoch != held.epoch);
        if is_new {
            self.first_round_at = Some(now);
            self.effect_sent_at.clear();
            self.paused_until.clear();
        }
        self.held = Some(held);
        is_new
    }

    /// Whether a step may start for the job: none is in flight and the job is not paused.
    pub fn may_step(&self, key: &JobKey) -> bool {
        !self.in_flight.contains(key) && !self.paused_until.contains_key(key)
    }

    /// Records the outcome of a step; `None` comes from work that belongs to no job.
    pub fn record_outcome(&mut self, outcome: Option<StepOutcome>) {
        let Some(outcome) = outcome else { return };
        self.in_flight.remove(&outcome.key);
        if let Some(at) = outcome.effect_at {
            self.effect_sent_at.insert(outcome.key.clone(), at);
        }
        if !outcome.backoff.is_zero() {
            let until = Instant::now() + outcome.backoff;
            self.paused_until.insert(outcome.key, until);
        }
    }
}
