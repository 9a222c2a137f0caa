use super::{JobKey, Snapshot, running::expected_remaining};
use lycheeyard_protocol::{JobRecord, JobState, OrganisationId, Priority, Timestamp};
use std::{collections::BTreeMap, time::Duration};

/// Upper bound on the factor by which past usage moves an organisation's jobs back or forward in the queue.
const MAX_SHARE_FACTOR: f64 = 2.0;
/// Fraction of an agreed window that is kept as a safety margin.
const WINDOW_MARGIN: f64 = 0.25;
/// Waiting time that halves a job's score, as a fraction of the longest wait that the operator allows.
const AGEING_FRACTION: f64 = 0.1;

/// Class of a waiting job. Jobs of an earlier class are served first, whatever their scores.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum QueueClass {
    /// Urgent work.
    Urgent,
    /// Work that has waited for longer than the operator allows, or is about to miss its window.
    Overdue,
    /// Ordinary work.
    Normal,
    /// Work that waits for spare accelerators.
    Background,
}

/// A waiting job with the values that decide its position in the queue.
#[derive(Clone, Debug)]
pub(super) struct WaitingJob<'a> {
    pub(super) key: &'a JobKey,
    pub(super) record: &'a JobRecord,
    /// The run time that the job is expected to still need.
    pub(super) remaining: Duration,
    pub(super) class: QueueClass,
    score: f64,
}

/// Returns the waiting jobs in the order in which they are served.
pub(super) fn queue(snapshot: &Snapshot, now: Timestamp) -> Vec<WaitingJob<'_>> {
    let shares = share_factors(snapshot, now);
    let mut waiting: Vec<_> = snapshot
        .jobs
        .iter()
        .filter(|(_, record)| record.state == JobState::Queued && !record.cancel_requested)
        .map(|(key, record)| {
            let share = shares.get(&key.organisation).copied().unwrap_or(1.0);
            rank(snapshot, key, record, share, now)
        })
        .collect();
    waiting.sort_by(|a, b| {
        let by_class = a.class.cmp(&b.class);
        let by_score = a.score.total_cmp(&b.score);
        by_class.then(by_score).then_with(|| a.key.cmp(b.key))
    });
    waiting
}

fn rank<'a>(
    snapshot: &Snapshot,
    key: &'a JobKey,
    record: &'a JobRecord,
    share: f64,
    now: Timestamp,
) -> WaitingJob<'a> {
    let policy = &snapshot.data_centre.policy;
    let remaining = expected_remaining(snapshot, record);
    let class = class(snapshot, record, remaining, now);
    let score = match class {
        QueueClass::Urgent | QueueClass::Overdue => due_at(record, policy.longest_wait_ms),
        QueueClass::Normal | QueueClass::Background => {
            let weight = f64::from(policy.fragmentation_weight.0.min(100)) / 100.0;
            let size = f64::from(record.spec.shape.total()).powf(-0.5 - weight);
            let longest_wait = Duration::from_millis(policy.longest_wait_ms.max(1));
            let waited = now.since(record.submitted_at).as_secs_f64() / longest_wait.as_secs_f64();
            remaining.as_secs_f64().powf(0.3) * size * share
                / (1.0 + waited / AGEING_FRACTION)
                / (1.0 + f64::from(record.reclaims))
        }
    };
    WaitingJob {
        key,
        record,
        remaining,
        class,
        score,
    }
}

fn class(
    snapshot: &Snapshot,
    record: &JobRecord,
    remaining: Duration,
    now: Timestamp,
) -> QueueClass {
    let longest_wait = snapshot.data_centre.policy.longest_wait_ms;
    let waited = now.since(record.submitted_at);
    let window = record.spec.window_ms.map(Duration::from_millis);
    let closing =
        window.is_some_and(|window| waited + remaining > window.mul_f64(1.0 - WINDOW_MARGIN));
    match record.spec.priority {
        Priority::Urgent => QueueClass::Urgent,
        _ if closing || waited > Duration::from_millis(longest_wait) => QueueClass::Overdue,
        Priority::Normal => QueueClass::Normal,
        Priority::Background => QueueClass::Background,
    }
}

/// The time by which a job should have started or ended, in milliseconds since the epoch, used as its score.
#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds since the epoch are below 2^52"
)]
fn due_at(record: &JobRecord, longest_wait_ms: u64) -> f64 {
    let allowed = record.spec.window_ms.unwrap_or(longest_wait_ms);
    record.submitted_at.0.saturating_add(allowed) as f64
}

/// Fair-share factors: above 1 for organisations that have recently used more than their weighted share.
fn share_factors(snapshot: &Snapshot, now: Timestamp) -> BTreeMap<&OrganisationId, f64> {
    let used: BTreeMap<&OrganisationId, f64> = snapshot
        .organisations
        .values()
        .map(|organisation| {
            let usage = snapshot.usage.get(&organisation.id);
            let used = usage.map_or(0.0, |usage| usage.at(now));
            (
                &organisation.id,
                used / f64::from(organisation.weight.0.max(1)),
            )
        })
        .collect();
    let count = f64::from(u32::try_from(used.len()).unwrap_or(u32::MAX).max(1));
    let mean = used.values().sum::<f64>() / count;
    let factor = |used: f64| {
        let ratio = if mean > 0.0 { used / mean } else { 1.0 };
        ratio.sqrt().clamp(1.0 / MAX_SHARE_FACTOR, MAX_SHARE_FACTOR)
    };
    used.into_iter()
        .map(|(id, used)| (id, factor(used)))
        .collect()
}
