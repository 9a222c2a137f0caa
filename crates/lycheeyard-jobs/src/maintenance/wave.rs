use lycheeyard_protocol::{MachineId, Timestamp};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};
use strum::Display;

/// The number that identifies a wave of maintenance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// A request by operators to take each machine of a set down for maintenance once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// The number of the wave.
    pub number: WaveNumber,
    /// The machines to maintain.
    pub machines: BTreeSet<MachineId>,
    /// The time by which all machines should have begun maintenance.
    pub due_at: Timestamp,
    /// The maximum number of machines that may be unavailable at a time.
    pub cap: usize,
}

/// The stored progress of a wave.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// The time by which all machines should have begun, as first listed; later changes of the wave do not move it.
    pub due_at: Timestamp,
    /// The machines to which an order to begin may have been sent.
    pub ordered: BTreeSet<MachineId>,
    /// The machines that have begun maintenance.
    pub begun: BTreeSet<MachineId>,
    /// The machines that were removed before they began.
    #[serde(rename = "gone")]
    pub removed: BTreeSet<MachineId>,
    /// Whether the wave is still running.
    pub state: WaveState,
}

/// The state of a wave.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaveState {
    /// Some machines have not begun yet.
    Running,
    /// Every machine has begun or was removed.
    Completed,
}

impl WaveProgress {
    /// Creates the progress of a wave of which no machine has begun.
    #[must_use]
    pub fn new(due_at: Timestamp) -> Self {
        Self {
            due_at,
            ordered: BTreeSet::new(),
            begun: BTreeSet::new(),
            removed: BTreeSet::new(),
            state: WaveState::Running,
        }
    }

    /// Whether a machine has begun or was removed, so that it needs no more orders.
    #[must_use]
    pub fn is_settled(&self, machine: &MachineId) -> bool {
        self.begun.contains(machine) || self.removed.contains(machine)
    }
}

impl fmt::Display for WaveNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}
