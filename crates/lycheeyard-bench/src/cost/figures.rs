use std::fmt;

/// The cost of the control plane per entry process. Means are over all entry processes, one of which holds the scheduler
/// lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostFigures {
    /// The mean CPU time in percent of a core.
    pub mean_cpu_percent: f64,
    /// The highest CPU time of any process in percent of a core.
    pub highest_cpu_percent: f64,
    /// The largest resident memory of any process in MiB.
    pub highest_memory_mib: f64,
    /// Bytes per second and process to and from the store.
    pub store_bytes: f64,
    /// Bytes per second and process to and from the instance list.
    pub list_bytes: f64,
    /// Bytes per second and process to and from peers, counted at both ends.
    pub peer_bytes: f64,
    /// Bytes per second and process to and from workers.
    pub worker_bytes: f64,
    /// Store reads per second of all processes together.
    pub reads: f64,
    /// Store writes per second of all processes together.
    pub writes: f64,
    /// Store watches per second of all processes together.
    pub watches: f64,
}

impl CostFigures {
    /// The heading of the table; each row is a `CostPoint` followed by its `CostFigures`.
    pub const HEADING: &str = "| entries | workers | gangs | tickets/10 s | CPU mean % | CPU highest % | \
        memory MiB | store B/s | list B/s | peers B/s | workers B/s | reads/s | writes/s | watches/s |\n\
        |---|---|---|---|---|---|---|---|---|---|---|---|---|---|";
}

impl fmt::Display for CostFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            " {:.2} | {:.2} | {:.1} | {:.0} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} |",
            self.mean_cpu_percent,
            self.highest_cpu_percent,
            self.highest_memory_mib,
            self.store_bytes,
            self.list_bytes,
            self.peer_bytes,
            self.worker_bytes,
            self.reads,
            self.writes,
            self.watches
        )
    }
}
