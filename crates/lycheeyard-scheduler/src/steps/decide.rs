use super::JobStep;
use crate::gang::{GangStatus, GangView};
use lycheeyard_protocol::{JobRecord, JobState, StopNote, Timestamp};

/// Decides what follows from a job's record and from what its workers say.
///
/// The start of a queued job is the policy's decision and is not made here.
#[must_use]
pub fn next_step(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match record.state {
        JobState::Queued if record.cancel_requested => JobStep::Finish {
            state: JobState::Cancelled,
            reason: "cancelled".to_owned(),
        },
        JobState::Stopping => JobStep::ContinueStop,
        JobState::Starting | JobState::Running if record.cancel_requested => {
            stop(record, gang, now, "cancelled")
        }
        JobState::Starting => follow_start(record, gang, now),
        JobState::Running => follow_run(record, gang, now),
        JobState::Queued | JobState::Succeeded | JobState::Failed | JobState::Cancelled => {
            JobStep::Wait
        }
    }
}

fn follow_start(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match gang.status() {
        GangStatus::Unclear => JobStep::Wait,
        GangStatus::Prepared => JobStep::FinishStart,
        GangStatus::Running => JobStep::MarkRunning,
        GangStatus::Succeeded => succeeded(),
        GangStatus::Silent => stop(record, gang, now, "a worker was silent at the start"),
        GangStatus::Ended | GangStatus::Partial => stop(record, gang, now, "the start failed"),
    }
}

fn follow_run(record: &JobRecord, gang: &GangView, now: Timestamp) -> JobStep {
    match gang.status() {
        GangStatus::Unclear | GangStatus::Running => JobStep::Wait,
        GangStatus::Succeeded => succeeded(),
        GangStatus::Silent => stop(record, gang, now, "a worker fell silent"),
        GangStatus::Prepared | GangStatus::Ended | GangStatus::Partial => {
            stop(record, gang, now, "a task was lost")
        }
    }
}

fn succeeded() -> JobStep {
    JobStep::Finish {
        state: JobState::Succeeded,
        reason: "ended well".to_owned(),
    }
}

/// A gang that has lost a task writes no checkpoint, since its tasks no longer agree.
fn stop(record: &JobRecord, gang: &GangView, now: Timestamp, reason: &str) -> JobStep {
    JobStep::BeginStop {
        note: StopNote {
            since: now,
            checkpoint_until: Timestamp(0),
            checkpoint_ms: None,
            failed_on: gang.failed_on(),
            never_started: false,
            lost: record.state == JobState::Running && gang.status() == GangStatus::Silent,
        },
        reason: reason.to_owned(),
        reclaim: false,
    }
}
