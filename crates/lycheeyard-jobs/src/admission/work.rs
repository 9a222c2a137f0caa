use crate::Resources;
use std::ops::AddAssign;

/// Resources multiplied by the time for which they are needed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Work {
    /// Thousandths of a core times milliseconds.
    cpu: u64,
    /// MiB times milliseconds.
    memory: u64,
    /// Accelerators times milliseconds.
    accelerators: u64,
}

impl Work {
    /// The work of tasks that each need `demand` for `run_ms` milliseconds.
    #[must_use]
    pub fn new(demand: &Resources, tasks: usize, run_ms: u64) -> Self {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        let total = |need: u64| need.saturating_mul(run_ms).saturating_mul(tasks);
        Self {
            cpu: total(demand.cpu_milli),
            memory: total(demand.memory_mb),
            accelerators: total(u64::from(demand.accelerators)),
        }
    }

    /// How long the work takes at least on `capacity`, in milliseconds; `u64::MAX` if it needs something that is missing there.
    #[must_use]
    pub fn time_on(&self, capacity: &Resources) -> u64 {
        let time = |work: u64, capacity: u64| match work {
            0 => 0,
            _ => work.checked_div(capacity).unwrap_or(u64::MAX),
        };
        time(self.cpu, capacity.cpu_milli)
            .max(time(self.memory, capacity.memory_mb))
            .max(time(self.accelerators, u64::from(capacity.accelerators)))
    }
}

impl AddAssign for Work {
    fn add_assign(&mut self, other: Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}
