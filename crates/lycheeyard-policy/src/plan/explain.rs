use super::{Action, JobKey, Snapshot, plan};
use lycheeyard_protocol::{JobExplanation, JobRecord, JobState, Timestamp, WaitReason};

/// Explains what a job waits for and when it is expected to start.
#[must_use]
pub fn explain(snapshot: &Snapshot, key: &JobKey, now: Timestamp) -> JobExplanation {
    let Some(record) = snapshot.jobs.get(key) else {
        return answer(
            JobState::Queued,
            WaitReason::Nothing,
            format!("{key} is not known here"),
        );
    };
    if record.state != JobState::Queued {
        return settled(record);
    }
    let action = plan(snapshot, now).into_iter().find(|action| match action {
        Action::Start { job, .. } | Action::Stop { job, .. } | Action::Retire { job, .. } => {
            job == key
        }
    });
    let (waits_for, detail) = match action {
        Some(Action::Retire { reason, .. }) => (WaitReason::Impossible, reason),
        Some(_) => (WaitReason::Nothing, "starts in this round".to_owned()),
        None => (
            WaitReason::Accelerators,
            format!("waits for {} adjacent accelerators", record.spec.shape),
        ),
    };
    answer(record.state, waits_for, detail)
}

fn answer(state: JobState, waits_for: WaitReason, detail: String) -> JobExplanation {
    JobExplanation {
        state,
        waits_for,
        behind: Vec::new(),
        expected_start: None,
        latest_start: None,
        detail,
    }
}

fn settled(record: &JobRecord) -> JobExplanation {
    JobExplanation {
        state: record.state,
        waits_for: WaitReason::Nothing,
        behind: Vec::new(),
        expected_start: record.started_at,
        latest_start: record.started_at,
        detail: format!("is {}", record.state),
    }
}
