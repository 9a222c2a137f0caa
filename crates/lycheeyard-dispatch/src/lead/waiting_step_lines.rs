use lycheeyard_jobs::{Now, WaitingStep};
use tracing::info;

/// Logs a step whose turn has come while nothing of its job has run for long, and what keeps it from starting.
pub(super) fn log_waiting_step(waiting: &WaitingStep, now: Now) {
    let waited = now.boot.since(waiting.since).as_millis();
    info!(
        job = %waiting.step.job,
        step = %waiting.step,
        service = %waiting.service,
        tasks = waiting.tasks,
        demand = %waiting.demand,
        waited_ms = u64::try_from(waited).unwrap_or(u64::MAX),
        reason = %waiting.wait,
        detail = %waiting.wait.detail(now.boot),
        "job: waits and nothing of it runs"
    );
}
