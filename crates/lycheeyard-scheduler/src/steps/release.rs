use crate::gang::{GangStatus, GangView, ObservedTask, TaskObservation};
use lycheeyard_protocol::{
    JobRecord, JobState, StopNote, Timestamp, WorkerId, platform::TaskState,
};
use std::{collections::BTreeSet, time::Duration};

/// A job whose tasks failed on this many workers is itself at fault and ends as failed.
const MAX_FAILED_WORKERS: usize = 3;

/// A job that failed this often is itself at fault and ends as failed, regardless of the workers.
const MAX_FAILURES: u32 = 8;

/// The progress of a stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopProgress {
    /// No further worker has confirmed the stop.
    Unchanged,
    /// Some workers have confirmed; the record still names the others.
    PartlyReleased(JobRecord),
    /// The job holds no accelerators any more; it is queued again or has ended.
    Released(JobRecord),
}

/// Removes the workers that have confirmed the stop from a stopping job's placement, or all workers after `expiry`.
///
/// `expiry` is the time, counted from the stored stop, after which no task of the gang runs any more, because its
/// lease has expired. A job whose tasks all succeeded before any was released ends as succeeded. Failures on
/// `quarantined` workers do not count against the job.
#[must_use]
pub fn advance_stop(
    record: &JobRecord,
    gang: &GangView,
    now: Timestamp,
    expiry: Duration,
    quarantined: &BTreeSet<WorkerId>,
) -> StopProgress {
    let Some(mut note) = record.stopping.clone() else {
        return StopProgress::Unchanged;
    };
    let mut next = record.clone();
    if gang.status() == GangStatus::Succeeded && note.checkpoint_ms.is_none() {
        finish(&mut next, JobState::Succeeded, "ended well", now);
        return StopProgress::Released(next);
    }
    let expired = note.since.after(expiry).is_past(now);
    let is_released = |task: &&ObservedTask| task.has_ended() || expired;
    let confirmed: Vec<&ObservedTask> = gang.tasks.iter().filter(is_released).collect();
    for task in &confirmed {
        record_task_outcome(&mut note, record, task);
    }
    let remains = |worker| !confirmed.iter().any(|task| task.worker == worker);
    if let Some(placement) = &mut next.placement {
        placement
            .allocations
            .retain(|allocation| remains(allocation.worker.clone()));
    }
    let held = next.placement.as_ref().map_or(0, |p| p.allocations.len());
    if held == 0 {
        release(&mut next, &note, quarantined, now);
        return StopProgress::Released(next);
    }
    if confirmed.is_empty() {
        return StopProgress::Unchanged;
    }
    next.stopping = Some(note);
    StopProgress::PartlyReleased(next)
}

fn record_task_outcome(note: &mut StopNote, record: &JobRecord, task: &ObservedTask) {
    let kept = match task.observation {
        TaskObservation::Reported {
            state,
            checkpoint_ms,
        } => {
            if state == TaskState::Failed {
                note.failed_on.insert(task.worker.clone());
            }
            checkpoint_ms
        }
        TaskObservation::Unknown | TaskObservation::Silent => {
            note.lost = true;
            record.checkpoint_ms
        }
    };
    note.checkpoint_ms = Some(note.checkpoint_ms.map_or(kept, |lowest| lowest.min(kept)));
}

/// Requeues a job that no longer holds accelerators, or ends it.
///
/// The next attempt resumes from the oldest checkpoint of the gang's tasks, but never from an older one than the record
/// already holds.
fn release(
    record: &mut JobRecord,
    note: &StopNote,
    quarantined: &BTreeSet<WorkerId>,
    now: Timestamp,
) {
    record.checkpoint_ms = record.checkpoint_ms.max(note.checkpoint_ms.unwrap_or(0));
    record.failures += u32::from(!note.failed_on.is_empty());
    record.failed_on.extend(note.failed_on.iter().cloned());
    record
        .failed_on
        .retain(|worker| !quarantined.contains(worker));
    record.placement = None;
    record.started_at = None;
    record.stopping = None;
    if record.cancel_requested {
        finish(record, JobState::Cancelled, "cancelled", now);
    } else if record.failed_on.len() >= MAX_FAILED_WORKERS {
        let workers: Vec<&str> = record.failed_on.iter().map(WorkerId::as_str).collect();
        let reason = format!("its tasks failed on {}", workers.join(", "));
        finish(record, JobState::Failed, &reason, now);
    } else if record.failures >= MAX_FAILURES {
        finish(record, JobState::Failed, "its tasks failed too often", now);
    } else {
        record.state = JobState::Queued;
    }
}

fn finish(record: &mut JobRecord, state: JobState, reason: &str, now: Timestamp) {
    record.state = state;
    record.placement = None;
    record.stopping = None;
    record.ended_at = Some(now);
    reason.clone_into(&mut record.reason);
}
