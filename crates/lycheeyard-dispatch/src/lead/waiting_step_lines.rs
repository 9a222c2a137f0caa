use crate::metrics::record_long_wait;
use lycheeyard_jobs::{Now, WaitingStep};
use tracing::info;

/// Logs and counts a step whose turn has come while nothing of its job has run for long, with what keeps it from starting.
pub(super) fn log_waiting_step(waiting: &WaitingStep, now: Now) {
    record_long_wait(waiting);
    let waited = now.boot.since(waiting.since).as_millis();
    let ends_by = waiting.ends_at.map(|at| at.since(now.boot).as_millis());
    info!(
        job = %waiting.step.job,
        step = %waiting.step,
        queue = %waiting.queue,
        service = %waiting.service,
        tasks = waiting.tasks,
        demand = %waiting.demand,
        waited_ms = u64::try_from(waited).unwrap_or(u64::MAX),
        reason = %waiting.wait,
        detail = %waiting.wait.detail(now.boot),
        ends_by_ms = ends_by.map(|rest| u64::try_from(rest).unwrap_or(u64::MAX)),
        room = %waiting.room,
        room_anywhere = %waiting.room_anywhere,
        "job: waits and nothing of it runs"
    );
}
