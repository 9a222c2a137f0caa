use crate::BootTime;
use lycheeyard_protocol::Timestamp;

/// The present on both clocks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Now {
    /// For deadlines within this instance.
    pub boot: BootTime,
    /// For times that people and other machines see.
    pub wall: Timestamp,
}
