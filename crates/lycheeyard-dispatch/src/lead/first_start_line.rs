use lycheeyard_jobs::FirstStart;
use lycheeyard_protocol::Timestamp;
use tracing::info;

/// Logs the first start of a job: the time since its submission at each stage, and why it waited.
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
