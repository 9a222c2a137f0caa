use crate::metrics::record_run_end;
use lycheeyard_jobs::{Batch, WorkerReport};
use tracing::info;

/// Logs and counts the run ends that a report lists.
pub(super) fn log_run_ends(report: &WorkerReport) {
    for end in &report.ended {
        record_run_end(end.outcome);
        info!(
            task = %end.task,
            run = %end.run,
            how = %end.outcome,
            number = %end.number,
            worker = %report.worker.id,
            "run: ended"
        );
    }
}

/// Logs the jobs whose final state a batch recorded.
pub(super) fn log_ended_jobs(batch: &Batch) {
    let ended = batch
        .changes
        .iter()
        .filter(|change| change.progress.state.is_final());
    for change in ended {
        info!(job = %change.job, state = %change.progress.state, "job: ended");
    }
}
