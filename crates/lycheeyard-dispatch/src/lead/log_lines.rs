use crate::metrics::record_run_end;
use lycheeyard_jobs::{Batch, FirstStart, JobScheduler, WorkerReport};
use lycheeyard_protocol::Timestamp;
use tracing::info;

/// Counts the run ends that a report lists, and logs those that no earlier report of this term listed.
pub(super) fn log_run_ends(report: &WorkerReport, scheduler: &JobScheduler) {
    let last_recorded = scheduler.recorded_end(&report.worker);
    for end in &report.ended {
        record_run_end(end.outcome);
        if end.number <= last_recorded {
            continue;
        }
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

/// Logs how the first start of a job came about: the time since its submission at each stage, and why it waited.
pub(super) fn log_first_start(start: &FirstStart) {
    let stages = &start.stages;
    let since_submission =
        |at: Timestamp| u64::try_from(at.since(start.submitted_at).as_millis()).unwrap_or(u64::MAX);
    info!(
        job = %start.job,
        organisation = %start.organisation,
        priority = start.priority,
        is_guaranteed = stages.is_guaranteed,
        added_ms = since_submission(stages.added_at),
        placed_ms = stages.placed_at.map(since_submission),
        durable_ms = stages.durable_at.map(since_submission),
        rounds_reserved = stages.rounds_reserved,
        rounds_without_victims = stages.rounds_without_victims,
        rounds_not_tried = stages.rounds_not_tried,
        "job: first start"
    );
}
