use super::{MachineInfo, MachineState, Wave, WaveProgress};
use crate::BootTime;
use lycheeyard_protocol::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// A wave with its stored progress and the state that only this term keeps.
#[derive(Clone, Debug)]
pub(crate) struct WaveEntry {
    pub wave: Wave,
    pub progress: WaveProgress,
    /// When the wave was added in this term.
    pub added_at: BootTime,
    /// The machines that get no new runs, with the time until which present runs may continue.
    pub draining: BTreeMap<MachineId, BootTime>,
    /// The machines whose order to begin is in flight.
    pub in_flight: BTreeSet<MachineId>,
    /// The machines to which the order is sent again, and when.
    pub retry_at: BTreeMap<MachineId, BootTime>,
    /// The machines that have begun in this term, and when their answer arrived.
    pub begun_at: BTreeMap<MachineId, BootTime>,
    /// The machines that began and have been listed as up, or not listed at all, since then.
    pub returned: BTreeSet<MachineId>,
}

impl WaveEntry {
    pub fn new(wave: Wave, progress: WaveProgress, now: BootTime) -> Self {
        Self {
            wave,
            progress,
            added_at: now,
            draining: BTreeMap::new(),
            in_flight: BTreeSet::new(),
            retry_at: BTreeMap::new(),
            begun_at: BTreeMap::new(),
            returned: BTreeSet::new(),
        }
    }

    /// Returns how many machines are, or may be, unavailable because of this wave.
    pub fn unavailable_count(&self) -> usize {
        let ordered = &self.progress.ordered;
        let unanswered = ordered.difference(&self.progress.begun).count();
        unanswered + self.progress.begun.difference(&self.returned).count()
    }

    /// Applies a list of machines that was requested at `requested_at`. Returns whether machines of the wave were
    /// removed, so that the record has changed.
    pub fn update_machines(
        &mut self,
        machines: &BTreeMap<MachineId, MachineInfo>,
        requested_at: BootTime,
    ) -> bool {
        for machine in &self.progress.begun {
            // A list that was requested earlier may show the machine as up because it had not begun yet.
            let begun_at = self.begun_at.get(machine).copied().unwrap_or(self.added_at);
            let info = machines.get(machine);
            let is_up = info.is_none_or(|info| info.state == MachineState::Up);
            if begun_at < requested_at && is_up {
                self.returned.insert(machine.clone());
            }
        }
        let is_removed = |machine: &&MachineId| {
            !machines.contains_key(*machine) && !self.progress.is_settled(machine)
        };
        let removed: Vec<MachineId> = self
            .wave
            .machines
            .iter()
            .filter(is_removed)
            .cloned()
            .collect();
        if self.added_at >= requested_at || removed.is_empty() {
            return false;
        }
        for machine in removed {
            self.draining.remove(&machine);
            self.progress.ordered.remove(&machine);
            self.progress.removed.insert(machine);
        }
        true
    }
}
