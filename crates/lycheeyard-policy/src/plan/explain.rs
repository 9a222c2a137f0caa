use super::{
    Action, JobKey, Snapshot,
    expected_free::ExpectedFree,
    order::WaitingJob,
    round::{Round, run},
};
use lycheeyard_protocol::{JobExplanation, JobRecord, JobState, Timestamp, WaitReason};
use std::time::Duration;

/// Maximum number of jobs ahead in the queue that an explanation lists.
const MAX_JOBS_AHEAD: usize = 10;

/// Explains what a job waits for and when it is expected to start.
#[must_use]
pub fn explain(snapshot: &Snapshot, key: &JobKey, now: Timestamp) -> JobExplanation {
    let Some(record) = snapshot.jobs.get(key) else {
        let detail = format!("{key} is not known here");
        return without_times(JobState::Queued, WaitReason::Nothing, detail);
    };
    if record.state != JobState::Queued {
        return explain_not_queued(record);
    }
    let round = run(snapshot, now);
    let own_action = round.state.actions.iter().find(|action| match action {
        Action::Start { job, .. } | Action::Retire { job, .. } => job == key,
        Action::Stop { .. } => false,
    });
    match own_action {
        Some(Action::Retire { reason, .. }) => {
            without_times(record.state, WaitReason::Impossible, reason.clone())
        }
        Some(_) => starts_now(record, now),
        None => {
            explain_evacuation(snapshot, record).unwrap_or_else(|| round.explain_wait(key, record))
        }
    }
}

impl Round<'_> {
    fn explain_wait(&self, key: &JobKey, record: &JobRecord) -> JobExplanation {
        let shape = record.spec.shape;
        let position = self.ordinary.iter().position(|waiting| waiting.key == key);
        let Some(position) = position else {
            let grace = self.state.snapshot.checkpoint_grace();
            let mut explanation = without_times(
                record.state,
                WaitReason::Reclaim,
                format!("borrowers give {shape} of its guarantee back"),
            );
            explanation.expected_start = Some(self.state.now.after(grace));
            explanation.latest_start = Some(self.state.now.after(grace * 2));
            return explanation;
        };
        let waiting = &self.ordinary[position];
        let waits_for = self.wait_reason(waiting);
        let behind = self.jobs_ahead(position);
        let expected_start = self.expected_start(waiting, position);
        let detail = match waits_for {
            WaitReason::Reservation => format!("{shape} is free but reserved for a larger job"),
            WaitReason::Guarantee => format!("{shape} is free but kept for guarantees"),
            _ => format!("no {shape} of adjacent accelerators is free"),
        };
        JobExplanation {
            state: record.state,
            waits_for,
            behind,
            expected_start,
            latest_start: expected_start.map(|start| self.latest_start(start)),
            detail,
        }
    }

    fn wait_reason(&self, waiting: &WaitingJob<'_>) -> WaitReason {
        let shape = waiting.record.spec.shape;
        let state = &self.state;
        let accessible = state.accessible(state.access(waiting));
        let free_accessible: Vec<u64> = state
            .free
            .iter()
            .zip(&accessible)
            .map(|(f, r)| f & r)
            .collect();
        if state.best_block(shape, &free_accessible).is_some() {
            WaitReason::Reservation
        } else if state.best_block(shape, &state.free).is_some() {
            WaitReason::Guarantee
        } else {
            WaitReason::Accelerators
        }
    }

    /// Returns the jobs ahead in the queue that do not start in this round, nearest first.
    fn jobs_ahead(&self, position: usize) -> Vec<String> {
        self.ordinary[..position]
            .iter()
            .rev()
            .filter(|waiting| !self.starts(waiting.key))
            .take(MAX_JOBS_AHEAD)
            .map(|waiting| waiting.key.to_string())
            .collect()
    }

    fn starts(&self, key: &JobKey) -> bool {
        let mut actions = self.state.actions.iter();
        actions.any(|action| matches!(action, Action::Start { job, .. } if job == key))
    }

    /// Returns when a block is expected to be free, assuming that the jobs ahead in the queue are served first.
    fn expected_start(&self, waiting: &WaitingJob<'_>, position: usize) -> Option<Timestamp> {
        let reserved = self.reservations.iter().find(|r| r.job == waiting.key);
        if let Some(reservation) = reserved {
            return Some(reservation.starts_at);
        }
        let state = &self.state;
        let mut expected = ExpectedFree::new(state, &state.accessible(state.access(waiting)));
        let ahead = self.ordinary[..position].iter();
        for other in ahead.filter(|other| !self.starts(other.key)) {
            let shares_access = state.access(other) >= state.access(waiting);
            let (block, start) = expected.earliest(state, other.record.spec.shape)?;
            if shares_access {
                expected.occupy(&block, start.after(other.remaining));
            }
        }
        let (_, start) = expected.earliest(state, waiting.record.spec.shape)?;
        Some(start)
    }

    /// Returns the start time if the wait takes twice as long as expected, plus the checkpoint grace period.
    fn latest_start(&self, expected: Timestamp) -> Timestamp {
        let now = self.state.now;
        let wait: Duration = expected.since(now);
        now.after(wait * 2 + self.state.snapshot.checkpoint_grace())
    }
}

/// Returns `None` if the data centre is not evacuated. There is no expected start, since an operator ends an evacuation.
fn explain_evacuation(snapshot: &Snapshot, record: &JobRecord) -> Option<JobExplanation> {
    let start = snapshot.evacuation?;
    let detail = format!(
        "{} is evacuated by ticket {}; no job starts there until the evacuation ends",
        snapshot.data_centre.id, start.ticket
    );
    Some(without_times(record.state, WaitReason::Evacuation, detail))
}

fn explain_not_queued(record: &JobRecord) -> JobExplanation {
    JobExplanation {
        expected_start: record.started_at,
        latest_start: record.started_at,
        ..without_times(
            record.state,
            WaitReason::Nothing,
            format!("is {}", record.state),
        )
    }
}

fn starts_now(record: &JobRecord, now: Timestamp) -> JobExplanation {
    JobExplanation {
        expected_start: Some(now),
        latest_start: Some(now),
        ..without_times(
            record.state,
            WaitReason::Nothing,
            "starts in this round".to_owned(),
        )
    }
}

fn without_times(state: JobState, waits_for: WaitReason, detail: String) -> JobExplanation {
    JobExplanation {
        state,
        waits_for,
        behind: Vec::new(),
        expected_start: None,
        latest_start: None,
        detail,
    }
}
