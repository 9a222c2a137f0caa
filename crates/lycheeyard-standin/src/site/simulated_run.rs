use lycheeyard_jobs::{BootTime, Checkpoint, Resources, RunEnd, RunNumber, Step};
use lycheeyard_protocol::Percent;
use std::time::Duration;

/// The kind of work that a run does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunRole {
    /// Runs until its work is done.
    Batch,
    /// Runs until it is stopped; its response times may have a target in milliseconds.
    LongRunning(Option<u64>),
    /// Runs on the processor time that other work leaves.
    BestEffort,
}

impl RunRole {
    pub fn of(step: &Step) -> Self {
        if step.long_running {
            Self::LongRunning(step.target_tail_ms)
        } else if step.best_effort {
            Self::BestEffort
        } else {
            Self::Batch
        }
    }
}

/// A run on a simulated worker.
#[derive(Clone, Debug)]
pub(super) struct SimulatedRun {
    pub number: RunNumber,
    pub demand: Resources,
    /// How long the work takes on this worker.
    pub total: Duration,
    /// How much of `total` is done.
    pub done: Duration,
    /// The amount of work after which the run fails, if it does.
    pub fails_at: Option<Duration>,
    pub checkpointing: bool,
    pub is_gang: bool,
    /// Whether it takes longer if its gang is spread over racks.
    pub same_rack: bool,
    pub role: RunRole,
    /// The current throttle, as a share of full speed.
    pub cpu_share: Percent,
    pub started_at: BootTime,
    /// When and how the run ends, once its end has begun.
    pub ending: Option<(BootTime, RunEnd)>,
}

impl SimulatedRun {
    /// The target for its response times, in milliseconds.
    pub fn target_ms(&self) -> Option<u64> {
        match self.role {
            RunRole::LongRunning(target_ms) => target_ms,
            RunRole::Batch | RunRole::BestEffort => None,
        }
    }

    /// Whether the run ends by itself once its work is done.
    pub fn ends_when_done(&self) -> bool {
        !matches!(self.role, RunRole::LongRunning(_))
    }

    /// The share of the work that is done, in percent.
    pub fn percent(&self) -> u8 {
        let total = self.total.as_millis().max(1);
        let percent = self.done.as_millis() * 100 / total;
        u8::try_from(percent.min(100)).unwrap_or(100)
    }

    /// The latest checkpoint, which holds the milliseconds of work that are done.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let saved = self.checkpointing && !self.done.is_zero();
        saved.then(|| Checkpoint(self.done.as_millis().to_string()))
    }
}
