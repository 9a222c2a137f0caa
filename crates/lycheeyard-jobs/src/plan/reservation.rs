use crate::{BootTime, Resources};
use lycheeyard_protocol::WorkerId;

/// Resources reserved for a step while the runs that use them are being stopped.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// The position of each task and its worker.
    pub tasks: Vec<(usize, WorkerId)>,
    /// The resources that each task needs.
    pub demand: Resources,
    pub expires_at: BootTime,
}
