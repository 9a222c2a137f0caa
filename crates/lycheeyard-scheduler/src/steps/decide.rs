use super::JobStep;
use crate::gang::{GangStatus, GangView};
use lycheeyard_protocol::{JobRecord, JobState, StopNote, Timestamp};

/// Decides the next step of a job from its record and the reports of its workers.
///
/// Starting a queued job is not decided here: the policy does that.
#[must_use]
pub fn next_step(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match record.state {
        JobState::Queued if record.cancel_requested => JobStep::Finish {
            state: JobState::Cancelled,
            reason: "cancelled".to_owned(),
        },
        JobState::Stopping => JobStep::ContinueStop,
        JobState::Starting | JobState::Running if record.cancel_requested => {
            begin_stop(record, gang, now, "cancelled")
        }
        JobState::Starting => next_step_while_starting(record, gang, now),
        JobState::Running => next_step_while_running(record, gang, now),
        JobState::Queued | JobState::Succeeded | JobState::Failed | JobState::Cancelled => {
            JobStep::Wait
        }
    }
}

fn next_step_while_starting(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match gang.status() {
        GangStatus::Unknown => JobStep::Wait,
        GangStatus::Prepared => JobStep::FinishStart,
        GangStatus::Running => JobStep::MarkRunning,
        GangStatus::Succeeded => succeeded(),
        GangStatus::Silent => begin_stop(record, gang, now, "a worker was silent at the start"),
        GangStatus::Ended | GangStatus::Partial => {
            begin_stop(record, gang, now, "the start failed")
        }
    }
}

fn next_step_while_running(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match gang.status() {
        GangStatus::Unknown | GangStatus::Running => JobStep::Wait,
        GangStatus::Succeeded => succeeded(),
        GangStatus::Silent => begin_stop(record, gang, now, "a worker fell silent"),
        GangStatus::Prepared | GangStatus::Ended | GangStatus::Partial => {
            begin_stop(record, gang, now, "a task was lost")
        }
    }
}

fn succeeded() -> JobStep {
    JobStep::Finish {
        state: JobState::Succeeded,
        reason: "ended well".to_owned(),
    }
}

/// Begins a stop without a checkpoint: once a gang has lost a task, the others' states are no longer consistent.
fn begin_stop(record: &JobRecord, gang: &GangView, now: Timestamp, reason: &str) -> JobStep {
    JobStep::BeginStop {
        note: StopNote {
            failed_on: gang.failed_on(),
            lost: record.state == JobState::Running && gang.status() == GangStatus::Silent,
            ..StopNote::immediate(now)
        },
        reason: reason.to_owned(),
        reclaim: false,
    }
}
