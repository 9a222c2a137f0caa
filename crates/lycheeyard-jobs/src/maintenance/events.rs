use super::{MachineInfo, Wave, WaveEntry, WaveNumber, WaveProgress};
use crate::{
    BootTime,
    scheduler::{JobScheduler, MaintenanceOrder, Now},
};
use lycheeyard_protocol::MachineId;
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// The delay before an order to begin maintenance is sent again to a machine that did not begin.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The result of an order to begin maintenance.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum MaintenanceAnswer {
    /// The machine has begun maintenance, now or earlier.
    Begun,
    /// The machine cannot begin now.
    Busy,
    /// The machine does not exist or does not belong to the wave.
    Unknown,
    /// No answer arrived. The order may have taken effect, or may yet do so.
    Unclear,
}

impl JobScheduler {
    /// Sets the stored records of waves that previous scheduling instances wrote.
    pub fn set_wave_records(&mut self, records: BTreeMap<WaveNumber, WaveProgress>) {
        self.wave_records = records;
    }

    /// Adds a listed wave, or updates it. A new wave continues from its stored record, if there is one.
    pub fn wave_listed(&mut self, wave: Wave, now: Now) {
        let number = wave.number;
        if let Some(entry) = self.waves.get_mut(&number) {
            entry.wave = wave;
            return;
        }
        if !self.has_open_waves() {
            // The list of machines is not refreshed while no wave is open.
            self.machines.clear();
        }
        let progress = self.wave_records.remove(&number);
        let is_new = progress.is_none();
        let progress = progress.unwrap_or_else(|| WaveProgress::new(wave.due_at));
        let mut entry = WaveEntry::new(wave, progress, now.boot);
        // A previous scheduling instance may have sent these orders, but no answer is recorded, so they are sent again.
        let ordered = entry.progress.ordered.iter();
        let unanswered = ordered.filter(|machine| !entry.progress.is_settled(machine));
        entry.retry_at = unanswered
            .map(|machine| (machine.clone(), now.boot))
            .collect();
        self.waves.insert(number, entry);
        if is_new {
            self.dirty_waves.insert(number);
        }
    }

    /// Whether any wave is open. Only then is the list of machines needed.
    #[must_use]
    pub fn has_open_waves(&self) -> bool {
        self.waves.values().any(WaveEntry::is_open)
    }

    /// Removes and returns the orders to begin maintenance that are ready to be sent.
    pub fn take_maintenance_orders(&mut self) -> Vec<MaintenanceOrder> {
        std::mem::take(&mut self.maintenance_orders)
    }

    /// Replaces the list of machines by the full list that was requested at `requested_at`.
    pub fn machines_listed(&mut self, machines: Vec<MachineInfo>, requested_at: BootTime) {
        let machines = machines.into_iter();
        self.machines = machines.map(|info| (info.id.clone(), info)).collect();
        for (number, entry) in &mut self.waves {
            if entry.is_open() && entry.update_machines(&self.machines, requested_at) {
                self.dirty_waves.insert(*number);
            }
        }
    }

    /// Applies the answer to an order to begin maintenance.
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
        entry.in_flight.remove(machine);
        match answer {
            MaintenanceAnswer::Begun => {
                entry.progress.begun.insert(machine.clone());
                entry.begun_at.insert(machine.clone(), now.boot);
            }
            MaintenanceAnswer::Unknown => {
                entry.progress.removed.insert(machine.clone());
                entry.progress.ordered.remove(machine);
            }
            // An earlier order may still take effect, so the machine stays counted as unavailable.
            MaintenanceAnswer::Busy | MaintenanceAnswer::Unclear => {
                entry
                    .retry_at
                    .insert(machine.clone(), now.boot.after(RETRY_DELAY));
                return;
            }
        }
        entry.draining.remove(machine);
        self.dirty_waves.insert(number);
    }
}
