use super::{MachineInfo, MachineState, Wave, WaveProgress};
use crate::BootTime;
use lycheeyard_protocol::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// A wave and what the scheduler knows of it.
#[derive(Clone, Debug)]
pub(crate) struct WaveEntry {
    pub wave: Wave,
    pub progress: WaveProgress,
    /// Since when the wave is known.
    pub known_since: BootTime,
    /// The machines that get no new work, and until when what runs there may go on.
    pub closing: BTreeMap<MachineId, BootTime>,
    /// The machines that were told to begin and have not answered.
    pub sent: BTreeSet<MachineId>,
    /// The machines that are not told again before a time.
    pub paused: BTreeMap<MachineId, BootTime>,
    /// The machines that have begun in this term, and when that was known.
    pub begun_at: BTreeMap<MachineId, BootTime>,
    /// The machines that have been seen at work again after they began.
    pub back: BTreeSet<MachineId>,
}

impl WaveEntry {
    pub fn new(wave: Wave, progress: WaveProgress, now: BootTime) -> Self {
        Self {
            wave,
            progress,
            known_since: now,
            closing: BTreeMap::new(),
            sent: BTreeSet::new(),
            paused: BTreeMap::new(),
            begun_at: BTreeMap::new(),
            back: BTreeSet::new(),
        }
    }

    /// How many machines are away for this wave, or may be.
    pub fn away(&self) -> usize {
        let ordered = &self.progress.ordered;
        let unanswered = ordered.difference(&self.progress.begun).count();
        unanswered + self.progress.begun.difference(&self.back).count()
    }

    /// Takes up a list of machines that was asked for at a time.
    pub fn take_machines(
        &mut self,
        machines: &BTreeMap<MachineId, MachineInfo>,
        asked_at: BootTime,
    ) -> bool {
        for machine in &self.progress.begun {
            // An older list may show it at work before it began.
            let began = self
                .begun_at
                .get(machine)
                .copied()
                .unwrap_or(self.known_since);
            let info = machines.get(machine);
            let is_up = info.is_none_or(|info| info.state == MachineState::Up);
            if began < asked_at && is_up {
                self.back.insert(machine.clone());
            }
        }
        let is_gone = |machine: &&MachineId| {
            !machines.contains_key(*machine) && !self.progress.is_settled(machine)
        };
        let gone: Vec<MachineId> = self.wave.machines.iter().filter(is_gone).cloned().collect();
        if self.known_since >= asked_at || gone.is_empty() {
            return false;
        }
        for machine in gone {
            self.closing.remove(&machine);
            self.progress.ordered.remove(&machine);
            self.progress.removed.insert(machine);
        }
        true
    }
}
