use lycheeyard_jobs::{BootTime, Checkpoint, Resources, RunEnd, RunNumber};
use std::time::Duration;

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
    pub started_at: BootTime,
    /// When the run is over, and how, once it is being ended.
    pub ending: Option<(BootTime, RunEnd)>,
}

impl SimulatedRun {
    /// The share of work that is done, in hundredths.
    pub fn percent(&self) -> u8 {
        let total = self.total.as_millis().max(1);
        u8::try_from(self.done.as_millis() * 100 / total).unwrap_or(100)
    }

    /// The checkpoint names the milliseconds of work that are done.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let saved = self.checkpointing && !self.done.is_zero();
        saved.then(|| Checkpoint(self.done.as_millis().to_string()))
    }
}
