use std::fmt;

/// The size at which the cost of control is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CostPoint {
    /// Entry processes in the one data centre.
    pub entries: usize,
    /// Workers, of 8 accelerators each.
    pub workers: u16,
    /// Running gangs of 4 tasks, one accelerator a task.
    pub gangs: usize,
    /// Tickets accepted in ten seconds.
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
