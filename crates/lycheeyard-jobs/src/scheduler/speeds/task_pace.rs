use crate::{
    BootTime,
    scheduler::{Run, RunKind, RunPhase},
};
use lycheeyard_protocol::WorkerId;
use std::time::Duration;

/// The run time of a run is extrapolated only once at least this percentage of its work is done.
const MIN_PROGRESS_PERCENT: u8 = 15;
const PERCENT: f64 = 100.0;
/// Run times that differ from their estimates by more than this factor, as a natural logarithm, are dropped.
const MAX_PACE: f64 = 6.9;

/// How long a run takes in relation to its estimate, as a natural logarithm, and on which worker.
#[derive(Clone, Debug)]
pub(crate) struct TaskPace {
    pub worker: WorkerId,
    pub pace: f64,
    /// For how long it had been in progress.
    pub seconds: f64,
}

impl TaskPace {
    /// The pace of a run that is done at `now`; `None` if its run time cannot be compared with others.
    pub fn of_done(run: &Run, estimate_ms: u64, now: BootTime) -> Option<Self> {
        let elapsed = now.since(run.present_since?);
        Self::new(run, elapsed, elapsed, estimate_ms)
    }

    /// The pace of a run as its last reported progress shows it; `None` if it is too early or cannot be compared.
    pub fn of_progress(run: &Run, estimate_ms: u64) -> Option<Self> {
        let has_progress = run.phase == RunPhase::Present
            && (MIN_PROGRESS_PERCENT..=100).contains(&run.progress.0);
        let since = run.present_since.filter(|_| has_progress)?;
        let elapsed = run.progressed_at.since(since);
        Self::new(
            run,
            elapsed,
            elapsed.mul_f64(PERCENT / f64::from(run.progress.0)),
            estimate_ms,
        )
    }

    fn new(run: &Run, elapsed: Duration, run_time: Duration, estimate_ms: u64) -> Option<Self> {
        let is_comparable = run.has_representative_run_time && run.kind == RunKind::Batch;
        #[expect(
            clippy::cast_precision_loss,
            reason = "estimates are far below 2^53 ms"
        )]
        let seconds = estimate_ms as f64 / 1000.0;
        let pace = (run_time.as_secs_f64() / seconds).ln();
        // Also false for what is not a number.
        let is_plausible = pace.abs() <= MAX_PACE;
        (is_comparable && is_plausible).then(|| Self {
            worker: run.worker.id.clone(),
            pace,
            seconds: elapsed.as_secs_f64(),
        })
    }
}
