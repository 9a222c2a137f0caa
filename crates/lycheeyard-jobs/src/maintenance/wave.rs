use lycheeyard_protocol::{MachineId, Timestamp};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};
use strum::Display;

/// Names a wave of maintenance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct WaveNumber(pub u64);

/// Operators want each of some machines to be away for maintenance once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Names the wave.
    pub number: WaveNumber,
    /// The machines.
    pub machines: BTreeSet<MachineId>,
    /// When all of them should have begun.
    pub due_at: Timestamp,
    /// How many may be away at a time.
    pub cap: usize,
}

/// What has become of a wave; the record that changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WaveProgress {
    /// When all machines should have begun, as it was understood first.
    pub due_at: Timestamp,
    /// The machines that may have been told to begin.
    pub ordered: BTreeSet<MachineId>,
    /// The machines that have begun.
    pub begun: BTreeSet<MachineId>,
    /// The machines that left for good before they began.
    #[serde(rename = "gone")]
    pub removed: BTreeSet<MachineId>,
    /// Whether there is more to do.
    pub state: WaveState,
}

/// Whether a wave is done.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaveState {
    /// Some machines have not begun.
    Running,
    /// Every machine that stays has begun.
    Completed,
}

impl WaveProgress {
    /// The progress of a new wave.
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

    /// Whether nothing more is to be done for a machine.
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
