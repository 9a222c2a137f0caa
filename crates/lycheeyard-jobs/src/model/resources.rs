use serde::{Deserialize, Serialize};
use std::fmt;

/// The resources that a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Resources {
    /// CPU time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in MiB.
    pub memory_mb: u64,
    /// The number of accelerators.
    pub accelerators: u32,
}

/// The number of CPU cores that one accelerator counts for when work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;
const MILLI: u64 = 1000;

impl Resources {
    /// Whether `need` fits into these resources.
    #[must_use]
    pub fn can_fit(&self, need: &Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mb <= self.memory_mb
            && need.accelerators <= self.accelerators
    }

    /// Returns how many times `need` fits into these resources; `u32::MAX` if it is empty.
    #[must_use]
    pub fn fit_count(&self, need: &Self) -> u32 {
        let part = |have: u64, need: u64| have.checked_div(need).unwrap_or(u64::MAX);
        let fits = part(self.cpu_milli, need.cpu_milli)
            .min(part(self.memory_mb, need.memory_mb))
            .min(part(
                u64::from(self.accelerators),
                u64::from(need.accelerators),
            ));
        u32::try_from(fits).unwrap_or(u32::MAX)
    }

    /// Adds `other` to each resource, saturating at the bounds of the type.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other` from each resource, saturating at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the size in thousandths of a core, with each accelerator counted as `CORES_PER_ACCELERATOR` cores, saturating at
    /// the bound of the type.
    #[must_use]
    pub fn weighted_cpu_milli(&self) -> u64 {
        let accelerators = u64::from(self.accelerators) * CORES_PER_ACCELERATOR * MILLI;
        self.cpu_milli.saturating_add(accelerators)
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}m cpu, {} MiB, {} accelerators",
            self.cpu_milli, self.memory_mb, self.accelerators
        )
    }
}
