use crate::gang::{GangStatus, GangView, Sight, TaskSight};
use lycheeyard_protocol::{
    JobRecord, JobState, StopNote, Timestamp, WorkerId, platform::TaskState,
};
use std::{collections::BTreeSet, time::Duration};

/// A job that failed by itself on this many workers is at fault.
const MAX_FAILED_WORKERS: usize = 3;

/// A job that failed by itself this often is at fault, wherever it ran.
const MAX_FAILURES: u32 = 8;

/// How far a stop has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StopProgress {
    /// No further worker has confirmed.
    Unchanged,
    /// Some have; the record keeps the others.
    Shrunk(JobRecord),
    /// No accelerator is held any more; the job is queued again or has ended.
    Released(JobRecord),
}

/// Takes the workers out of a stopping job's placement that have confirmed, or whose task lease has lapsed.
///
/// `lapse` is the time after the durable stop when no task of the gang can run any more. Failures on `quarantined`
/// workers do not count against the job.
#[must_use]
pub fn settle_stop(
    record: &JobRecord,
    gang: &GangView,
    now: Timestamp,
    lapse: Duration,
    quarantined: &BTreeSet<WorkerId>,
) -> StopProgress {
    let Some(mut note) = record.stopping.clone() else {
        return StopProgress::Unchanged;
    };
    let mut next = record.clone();
    if gang.status() == GangStatus::Succeeded && note.checkpoint_ms.is_none() {
        end(&mut next, JobState::Succeeded, "ended well", now);
        return StopProgress::Released(next);
    }
    let lapsed = note.since.after(lapse).is_past(now);
    let gone = |task: &&TaskSight| task.has_ended() || lapsed;
    let confirmed: Vec<&TaskSight> = gang.tasks.iter().filter(gone).collect();
    for task in &confirmed {
        absorb(&mut note, record, task);
    }
    let left = |worker| !confirmed.iter().any(|task| task.worker == worker);
    if let Some(placement) = &mut next.placement {
        placement
            .allocations
            .retain(|allocation| left(allocation.worker.clone()));
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
    StopProgress::Shrunk(next)
}

fn absorb(note: &mut StopNote, record: &JobRecord, task: &TaskSight) {
    let kept = match task.sight {
        Sight::Seen {
            state,
            checkpoint_ms,
        } => {
            if state == TaskState::Failed {
                note.failed_on.insert(task.worker.clone());
            }
            checkpoint_ms
        }
        Sight::Unknown | Sight::Silent => {
            note.lost = true;
            record.checkpoint_ms
        }
    };
    note.checkpoint_ms = Some(note.checkpoint_ms.map_or(kept, |least| least.min(kept)));
}

/// Puts a job that holds nothing any more back into the queue, or ends it.
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
        end(record, JobState::Cancelled, "cancelled", now);
    } else if record.failed_on.len() >= MAX_FAILED_WORKERS {
        let workers: Vec<&str> = record.failed_on.iter().map(WorkerId::as_str).collect();
        let reason = format!("its tasks failed on {}", workers.join(", "));
        end(record, JobState::Failed, &reason, now);
    } else if record.failures >= MAX_FAILURES {
        end(record, JobState::Failed, "its tasks failed too often", now);
    } else {
        record.state = JobState::Queued;
    }
}

fn end(record: &mut JobRecord, state: JobState, reason: &str, now: Timestamp) {
    record.state = state;
    record.placement = None;
    record.stopping = None;
    record.ended_at = Some(now);
    reason.clone_into(&mut record.reason);
}
