use std::fmt;

/// A size at which the cost of the control plane is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CostPoint {
    /// Entry processes in the single data centre.
    pub entries: usize,
    /// Workers, of 8 accelerators each.
    pub workers: u16,
    /// Running gangs of 4 tasks with one accelerator per task.
    pub gangs: usize,
    /// Tickets accepted in the measurement window of 10 s.
    pub tickets: u64,
}

impl fmt::Display for CostPoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "| {} | {} | {} | {} |",
            self.entries, self.workers, self.gangs, self.tickets
        )
    }
}
