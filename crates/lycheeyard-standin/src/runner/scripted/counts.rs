use std::collections::BTreeMap;

/// Counters of the requests and connections of a scripted runner.
#[derive(Clone, Debug, Default)]
pub struct ScriptedCounts {
    /// Number of requests that were read completely, and thereby begun, by body.
    pub begun: BTreeMap<String, u32>,
    /// Requests of which at least one byte was read before [`RunnerFault::CloseAfterReading`] closed the connection.
    pub partial_reads: u32,
    /// Connections accepted so far.
    pub connections: u32,
    /// Connections open now.
    pub open: u32,
    /// The maximum number of connections open at once.
    pub open_peak: u32,
    /// Requests running now.
    pub running: u32,
    /// The maximum number of requests running at once.
    pub running_peak: u32,
}
