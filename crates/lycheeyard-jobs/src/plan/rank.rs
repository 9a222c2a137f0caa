use super::{pending_step::PendingStep, standing::Standing};
use lycheeyard_protocol::{JobId, Timestamp};
use std::cmp::Reverse;

/// Added to the relative slack of a step when it is weighed with its work, in thousandths of an objective. Without it,
/// a large step that has no slack left would go before all small ones.
const MIN_WEIGHED_SLACK: u64 = 300;

/// The position of a step in the placement order; the lowest is placed first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Rank {
    standing: Standing,
    order: OrderInStanding,
    start_by: Timestamp,
    job: JobId,
    occurrence: u32,
    step: usize,
}

/// The order of the steps that have the same standing. All of them have the same variant.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum OrderInStanding {
    /// Steps that can meet their objective come before those that cannot.
    IsLate(bool),
    /// The steps of each priority by their weighed slack.
    WeighedSlack(u32, u64),
    /// The steps with the highest relative age first, whatever their priority.
    Age(Reverse<u64>),
    /// By priority.
    Priority(u32),
}

impl OrderInStanding {
    fn new(standing: Standing, pending: &PendingStep, now: Timestamp) -> Self {
        match standing {
            Standing::Guaranteed | Standing::Urgent | Standing::UrgentLate => {
                Self::IsLate(pending.is_late(now))
            }
            Standing::OnTime => Self::WeighedSlack(pending.priority, weighed_slack(pending, now)),
            Standing::Overdue | Standing::Late => Self::Age(Reverse(pending.relative_age(now))),
            Standing::Hopeless => Self::Priority(pending.priority),
        }
    }
}

impl Rank {
    pub fn new(pending: &PendingStep, now: Timestamp) -> Self {
        let standing = Standing::of(pending, now);
        Self {
            standing,
            order: OrderInStanding::new(standing, pending, now),
            start_by: pending.start_by,
            job: pending.key.job.clone(),
            occurrence: pending.key.occurrence,
            step: pending.key.step,
        }
    }
}

/// The relative slack of a step times the square root of its work. Earliest start first alone lets many jobs miss their
/// objectives by little when there is more work than capacity; so the work that delays the others most comes later.
/// Long-running steps always gain from an earlier start.
fn weighed_slack(pending: &PendingStep, now: Timestamp) -> u64 {
    if pending.step().long_running {
        return 0;
    }
    let slack = pending
        .relative_slack(now)
        .saturating_add(MIN_WEIGHED_SLACK);
    pending.work().isqrt().saturating_mul(slack)
}
