use lycheeyard_jobs::{BootTime, Checkpoint, Resources, RunEnd, RunNumber, Step};
use lycheeyard_protocol::Percent;
use std::time::Duration;

/// What a run does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunRole {
    /// It works until it is done.
    Batch,
    /// It goes on once its start is done; its response times may have a limit in milliseconds.
    Lasting(Option<u64>),
    /// It runs on the processor time that others leave.
    Filling,
}

impl RunRole {
    pub fn of(step: &Step) -> Self {
        if step.long_running {
            Self::Lasting(step.target_tail_ms)
        } else if step.best_effort {
            Self::Filling
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
    /// How long the work takes here.
    pub total: Duration,
    pub done: Duration,
    /// Where the run fails, if it does.
    pub fails_at: Option<Duration>,
    pub checkpointing: bool,
    pub is_gang: bool,
    pub role: RunRole,
    /// The share of its speed at which it works.
    pub share: Percent,
    pub started_at: BootTime,
    /// When the run is over, and how, once it is being ended.
    pub ending: Option<(BootTime, RunEnd)>,
}

impl SimulatedRun {
    /// The limit on its response times, in milliseconds.
    pub fn target_ms(&self) -> Option<u64> {
        match self.role {
            RunRole::Lasting(target_ms) => target_ms,
            RunRole::Batch | RunRole::Filling => None,
        }
    }

    /// Whether it ends by itself once its work is done.
    pub fn ends(&self) -> bool {
        !matches!(self.role, RunRole::Lasting(_))
    }

    /// The share of work that is done, in hundredths.
    pub fn percent(&self) -> u8 {
        let total = self.total.as_millis().max(1);
        let percent = self.done.as_millis() * 100 / total;
        u8::try_from(percent.min(100)).unwrap_or(100)
    }

    /// The checkpoint names the milliseconds of work that are done.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let saved = self.checkpointing && !self.done.is_zero();
        saved.then(|| Checkpoint(self.done.as_millis().to_string()))
    }
}
