use crate::BootTime;
use lycheeyard_protocol::Timestamp;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// Monotonic time, for deadlines within this instance.
    pub boot: BootTime,
    /// Wall-clock time, for times that are stored or shown.
    pub wall: Timestamp,
}
