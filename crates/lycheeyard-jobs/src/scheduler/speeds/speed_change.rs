use super::SpeedClass;
use lycheeyard_protocol::WorkerId;

/// A worker was classified as slow, or has recovered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpeedChange {
    /// The worker.
    pub worker: WorkerId,
    /// Its class from now on.
    pub class: SpeedClass,
    /// Its present speed, in percent of the usual one.
    pub speed_percent: u32,
}
