use crate::{BootTime, Resources};
use lycheeyard_protocol::WorkerId;

/// Resources that are kept for a step while the runs that hold them are being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The worker for each task.
    pub tasks: Vec<(usize, WorkerId)>,
    /// What each task needs.
    pub demand: Resources,
    pub expires_at: BootTime,
}
