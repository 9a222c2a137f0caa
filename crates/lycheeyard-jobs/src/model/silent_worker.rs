use super::{BootTime, WorkerKey};

/// A worker that does not answer and that the stored record of silent workers names, or is to name.
///
/// No instance extends leases on it or starts anything there until the record no longer names it, so that the times hold
/// whichever instance schedules.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SilentWorker {
    /// The worker and its incarnation.
    pub worker: WorkerKey,
    /// When every lease that was extended on it has certainly expired.
    pub leases_until: BootTime,
    /// When no copy of a start order that was sent to it is carried out any more.
    pub copies_until: BootTime,
    /// When it counts as gone if it is missing from the list until then; `None` while it is listed.
    pub gone_at: Option<BootTime>,
}
