use crate::requests::CompletionTimes;

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct SharingResult {
    /// Completion times.
    pub times: CompletionTimes,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that were lost because their instance failed.
    pub lost: u64,
    /// The share of the runner time in which a runner had more requests than slots, in percent.
    pub over_slots_percent: f64,
    /// The highest number of concurrent requests at one runner; each takes a connection.
    pub peak_connections: u32,
}
