use super::pending_step::PendingStep;
use lycheeyard_protocol::Timestamp;

/// A late step is overdue from this relative age on, in thousandths of its objective. One objective remains until its
/// result is of no use, which is enough for hosts to be drained and for the run itself.
const OVERDUE_AGE: u64 = 2000;

/// How a step stands against its objective. An earlier value is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Standing {
    /// A guarantee covers it.
    Guaranteed,
    /// It has priority 0 and can meet its objective.
    Urgent,
    /// It has priority 0 and can still be of use.
    UrgentLate,
    /// It cannot meet its objective, and has waited so long that it must start soon to be of use.
    Overdue,
    /// It can meet its objective.
    OnTime,
    /// It cannot meet its objective, and can wait.
    Late,
    /// It cannot be done while it is of use.
    Hopeless,
}

impl Standing {
    pub fn of(pending: &PendingStep, now: Timestamp) -> Self {
        let is_late = pending.is_late(now);
        match pending.priority {
            _ if pending.is_guaranteed => Self::Guaranteed,
            _ if pending.is_hopeless(now) => Self::Hopeless,
            0 if is_late => Self::UrgentLate,
            0 => Self::Urgent,
            _ if !is_late => Self::OnTime,
            _ if pending.relative_age(now) >= OVERDUE_AGE => Self::Overdue,
            _ => Self::Late,
        }
    }
}
