use super::{MachineInfo, Wave, WaveEntry, WaveNumber, WaveProgress};
use crate::{
    BootTime,
    scheduler::{JobScheduler, MaintainOrder, Now},
};
use lycheeyard_protocol::MachineId;
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// A machine that cannot begin now is told again after this.
const PAUSE: Duration = Duration::from_secs(1);

/// What became of an order to begin maintenance.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum MaintenanceAnswer {
    /// It has begun, now or before.
    Begun,
    /// It cannot begin now.
    Busy,
    /// There is no such machine, or it does not belong to the wave.
    Unknown,
    /// No answer; it may have begun, or may yet.
    Unclear,
}

impl JobScheduler {
    /// Takes the records of waves up that earlier holders left.
    pub fn set_wave_records(&mut self, records: BTreeMap<WaveNumber, WaveProgress>) {
        self.wave_records = records;
    }

    /// Takes up a wave.
    pub fn wave_listed(&mut self, wave: Wave, now: Now) {
        let number = wave.number;
        if let Some(entry) = self.waves.get_mut(&number) {
            entry.wave = wave;
            return;
        }
        if !self.has_open_waves() {
            // The list of machines was not kept up while there was no wave.
            self.machines.clear();
        }
        let progress = self.wave_records.remove(&number);
        let is_new = progress.is_none();
        let progress = progress.unwrap_or_else(|| WaveProgress::new(wave.due_at));
        let mut entry = WaveEntry::new(wave, progress, now.boot);
        // An earlier holder may have told these.
        let ordered = entry.progress.ordered.iter();
        let unanswered = ordered.filter(|machine| !entry.progress.is_settled(machine));
        entry.paused = unanswered
            .map(|machine| (machine.clone(), now.boot))
            .collect();
        self.waves.insert(number, entry);
        if is_new {
            self.dirty_waves.insert(number);
        }
    }

    /// Whether the list of machines is needed.
    #[must_use]
    pub fn has_open_waves(&self) -> bool {
        self.waves.values().any(WaveEntry::is_open)
    }

    /// Takes the orders to begin maintenance that are due.
    pub fn take_maintenance_orders(&mut self) -> Vec<MaintainOrder> {
        std::mem::take(&mut self.maintenance_orders)
    }

    /// Takes up the whole list of machines that was asked for at a time.
    pub fn machines_listed(&mut self, machines: Vec<MachineInfo>, asked_at: BootTime) {
        let rows = machines.into_iter();
        self.machines = rows.map(|info| (info.id.clone(), info)).collect();
        for (number, entry) in &mut self.waves {
            if entry.is_open() && entry.take_machines(&self.machines, asked_at) {
                self.dirty_waves.insert(*number);
            }
        }
    }

    /// Takes up the answer to an order to begin maintenance.
    pub fn maintenance_answered(
        &mut self,
        number: WaveNumber,
        machine: &MachineId,
        answer: MaintenanceAnswer,
        now: Now,
    ) {
        let Some(entry) = self.waves.get_mut(&number) else {
            return;
        };
        entry.sent.remove(machine);
        match answer {
            MaintenanceAnswer::Begun => {
                entry.progress.begun.insert(machine.clone());
                entry.begun_at.insert(machine.clone(), now.boot);
            }
            MaintenanceAnswer::Unknown => {
                entry.progress.removed.insert(machine.clone());
                entry.progress.ordered.remove(machine);
            }
            // An earlier order may yet take effect, so it stays counted as away.
            MaintenanceAnswer::Busy | MaintenanceAnswer::Unclear => {
                entry.paused.insert(machine.clone(), now.boot.after(PAUSE));
                return;
            }
        }
        entry.closing.remove(machine);
        self.dirty_waves.insert(number);
    }
}
