use std::fmt;

/// What control costs an entry process. Averages are over all of them; the holder is the scheduler's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostFigures {
    /// Processor time in percent of a core, on average.
    pub mean_cpu_percent: f64,
    /// Processor time in percent of a core of the process that uses most.
    pub highest_cpu_percent: f64,
    /// The largest resident memory in MiB.
    pub highest_memory_mib: f64,
    /// Bytes a second with the store, both ways, a process.
    pub store_bytes: f64,
    /// Bytes a second with the instance list, both ways, a process.
    pub list_bytes: f64,
    /// Bytes a second with peers, both ways, counted at both ends, a process.
    pub peer_bytes: f64,
    /// Bytes a second with workers, both ways, a process.
    pub worker_bytes: f64,
    /// Store reads a second of all processes together.
    pub reads: f64,
    /// Store writes a second of all processes together.
    pub writes: f64,
    /// Store watches a second of all processes together.
    pub watches: f64,
}

impl CostFigures {
    /// The heading of the table whose rows are a point and its figures.
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
