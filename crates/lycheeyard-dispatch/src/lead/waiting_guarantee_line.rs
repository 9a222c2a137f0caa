use lycheeyard_jobs::{Now, WaitingGuarantee};
use tracing::info;

/// Logs a step that waits although its organisation's guarantee covers it, with what keeps it from starting.
pub(super) fn log_waiting_guarantee(guaranteed: &WaitingGuarantee, now: Now) {
    let WaitingGuarantee {
        waiting,
        organisation,
        stages,
    } = guaranteed;
    let waited = now.boot.since(waiting.since).as_millis();
    info!(
        job = %waiting.step.job,
        step = %waiting.step,
        organisation = %organisation,
        tasks = waiting.tasks,
        demand = %waiting.demand,
        waited_ms = u64::try_from(waited).unwrap_or(u64::MAX),
        reason = %waiting.wait,
        detail = %waiting.wait.detail(now.boot),
        room = %waiting.room,
        room_anywhere = %waiting.room_anywhere,
        rounds_reserved = stages.rounds_reserved,
        rounds_without_victims = stages.rounds_without_victims,
        "job: waits inside its guarantee"
    );
}
