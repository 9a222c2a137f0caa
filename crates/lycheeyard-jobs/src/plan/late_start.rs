use crate::{BootTime, StepKey};

/// The terms on which a run has started whose step preferences had kept from room until its deadline.
#[derive(Clone, Debug)]
pub(crate) struct LateStart {
    /// Until when only guaranteed steps may preempt it.
    pub kept_until: BootTime,
    /// The step for which its room is drained. After `kept_until` that step may take the room back.
    pub drained_for: Option<StepKey>,
}
