use super::{SimulatedSite, checks::Violation};
use lycheeyard_jobs::{
    Batch, BootTime, MachineInfo, MachineState, MaintenanceAnswer, MaintenanceOrder, Wave,
    WaveNumber, WaveProgress, WaveState,
};
use lycheeyard_protocol::{Epoch, MachineId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

const LIST_INTERVAL: Duration = Duration::from_millis(700);
/// How old a list is when it reaches the scheduler.
const LIST_DELAY: Duration = Duration::from_millis(300);

/// The machines of the workers and the waves of maintenance. The id of a machine is the id of its worker.
#[derive(Clone, Debug, Default)]
pub struct SimulatedMachines {
    /// If set, orders are executed after this delay and are answered at once with [`MaintenanceAnswer::Unclear`].
    pub order_delay: Option<Duration>,
    /// The machines that have begun maintenance, by wave.
    pub begun: BTreeMap<WaveNumber, BTreeSet<MachineId>>,
    waves: BTreeMap<WaveNumber, Wave>,
    /// The durable records of the waves.
    pub(super) records: BTreeMap<WaveNumber, WaveProgress>,
    /// The workers whose machines are in maintenance, with the wave and the end of the maintenance.
    in_maintenance: BTreeMap<WorkerId, (WaveNumber, BootTime)>,
    late_orders: Vec<(MaintenanceOrder, BootTime, Epoch)>,
    /// The highest epoch of the orders that each machine has received.
    epochs: BTreeMap<MachineId, Epoch>,
    listed_at: BootTime,
    /// A list that has not reached the scheduler yet, and the time when it was requested.
    list: Option<(BootTime, Vec<MachineInfo>)>,
}

impl SimulatedMachines {
    /// Whether the machine of a worker is in maintenance.
    pub(super) fn is_in_maintenance(&self, worker: &WorkerId) -> bool {
        self.in_maintenance.contains_key(worker)
    }
}

impl SimulatedSite {
    /// Requests a wave of maintenance, as an operator does.
    pub fn request_wave(&mut self, wave: Wave) {
        self.machines.waves.insert(wave.number, wave.clone());
        self.scheduler.wave_listed(wave, self.now);
    }

    /// The state of a wave in its durable record.
    #[must_use]
    pub fn wave_state(&self, number: WaveNumber) -> Option<WaveState> {
        let record = self.machines.records.get(&number)?;
        Some(record.state)
    }

    /// The number of machines that are in maintenance for a wave.
    #[must_use]
    pub fn machines_in_maintenance(&self, number: WaveNumber) -> usize {
        let in_maintenance = self.machines.in_maintenance.values();
        in_maintenance.filter(|(wave, _)| *wave == number).count()
    }

    /// Ends due maintenance, executes late orders and lists the machines while a wave is open.
    pub(super) fn run_machines(&mut self) {
        let now = self.now.boot;
        let ended = self.machines.in_maintenance.iter();
        let ended = ended.filter(|(_, (_, until))| until.is_past(now));
        let ended: Vec<WorkerId> = ended.map(|(id, _)| id.clone()).collect();
        for id in ended {
            self.machines.in_maintenance.remove(&id);
            if let Some(worker) = self.workers.get(&id) {
                let info = worker.info.clone();
                self.scheduler.worker_listed(info, self.now);
            }
        }
        let late = std::mem::take(&mut self.machines.late_orders).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = late.partition(|(_, at, _)| at.is_past(now));
        self.machines.late_orders = later;
        for (order, _, epoch) in due {
            self.execute_maintenance_order(&order, epoch);
        }
        let is_due = self.machines.listed_at.after(LIST_INTERVAL).is_past(now);
        if is_due && self.scheduler.has_open_waves() {
            self.machines.listed_at = now;
            self.machines.list = Some((now, self.list_machines()));
        }
        let has_arrived = |list: &mut (BootTime, _)| list.0.after(LIST_DELAY).is_past(now);
        if let Some((requested_at, machines)) = self.machines.list.take_if(has_arrived) {
            self.scheduler.machines_listed(machines, requested_at);
        }
    }

    pub(super) fn deliver_maintenance(&mut self, order: &MaintenanceOrder) {
        let answer = if let Some(delay) = self.machines.order_delay {
            let at = self.now.boot.after(delay);
            self.machines
                .late_orders
                .push((order.clone(), at, self.epoch));
            MaintenanceAnswer::Unclear
        } else {
            self.execute_maintenance_order(order, self.epoch)
        };
        self.scheduler
            .maintenance_answered(order.wave, &order.machine, answer, self.now);
    }

    /// Stores the durable records of waves and checks the completed ones.
    pub(super) fn store_wave_records(&mut self, batch: &Batch) {
        for change in &batch.waves {
            let record = change.progress.clone();
            if record.state == WaveState::Completed {
                let missing = self.not_begun(change.number);
                let missing = missing.into_iter().map(Violation::WaveNotComplete);
                self.violations.extend(missing);
            }
            self.machines.records.insert(change.number, record);
        }
    }

    /// The machines of a wave that still have a worker and have not begun maintenance.
    fn not_begun(&self, number: WaveNumber) -> Vec<MachineId> {
        let present = self.workers.keys().map(machine_of);
        let wave = &self.machines.waves[&number].machines;
        let begun = self.machines.begun.get(&number);
        let missing = present.filter(|machine| {
            wave.contains(machine) && !begun.is_some_and(|begun| begun.contains(machine))
        });
        missing.collect()
    }

    /// Passes the waves and their records to the scheduler of a new term.
    pub(super) fn list_waves(&mut self) {
        let records = self.machines.records.clone();
        self.scheduler.set_wave_records(records);
        for wave in self.machines.waves.values() {
            self.scheduler.wave_listed(wave.clone(), self.now);
        }
    }

    fn list_machines(&self) -> Vec<MachineInfo> {
        let ids = self.workers.keys();
        let machine = |id: &WorkerId| {
            let is_in_maintenance = self.machines.in_maintenance.contains_key(id);
            MachineInfo {
                id: machine_of(id),
                state: if is_in_maintenance {
                    MachineState::InMaintenance
                } else {
                    MachineState::Up
                },
                worker: (!is_in_maintenance).then(|| id.clone()),
            }
        };
        ids.map(machine).collect()
    }

    /// Executes an order as the platform does.
    fn execute_maintenance_order(
        &mut self,
        order: &MaintenanceOrder,
        epoch: Epoch,
    ) -> MaintenanceAnswer {
        let highest_epoch = self
            .machines
            .epochs
            .entry(order.machine.clone())
            .or_default();
        if epoch < *highest_epoch {
            return MaintenanceAnswer::Busy;
        }
        *highest_epoch = epoch;
        let Ok(id) = order.machine.as_str().parse::<WorkerId>() else {
            return MaintenanceAnswer::Unknown;
        };
        let wave = self.machines.waves.get(&order.wave);
        let Some(cap) = wave
            .filter(|wave| wave.machines.contains(&order.machine))
            .map(|wave| wave.cap)
        else {
            return MaintenanceAnswer::Unknown;
        };
        let begun = self.machines.begun.entry(order.wave).or_default();
        if begun.contains(&order.machine) {
            return MaintenanceAnswer::Begun;
        }
        if self.machines.in_maintenance.contains_key(&id) {
            return MaintenanceAnswer::Busy;
        }
        if self.machines_in_maintenance(order.wave) >= cap {
            self.violations
                .push(Violation::TooManyInMaintenance(order.machine.clone()));
        }
        self.check_availability(&id);
        let Some(worker) = self.workers.get_mut(&id) else {
            return MaintenanceAnswer::Unknown;
        };
        worker.restart();
        let begun = self.machines.begun.entry(order.wave).or_default();
        begun.insert(order.machine.clone());
        let until = self.now.boot.after(self.limits.maintenance);
        self.machines
            .in_maintenance
            .insert(id.clone(), (order.wave, until));
        self.scheduler.worker_unlisted(&id);
        MaintenanceAnswer::Begun
    }

    /// Checks that stopping a worker's long-running tasks leaves no step with too many unavailable tasks.
    fn check_availability(&mut self, id: &WorkerId) {
        let worker = &self.workers[id];
        let tasks: Vec<_> = worker.tasks().cloned().collect();
        for task in tasks {
            let step = self.records.jobs[&task.step.job].steps[task.step.step].clone();
            let Some(max_unavailable) = step.max_unavailable.filter(|_| step.long_running) else {
                continue;
            };
            let unavailable = (step.tasks as usize).saturating_sub(self.ready_tasks(&task.step));
            if unavailable >= max_unavailable as usize {
                self.violations.push(Violation::OverMaxUnavailable(task));
            }
        }
    }
}

fn machine_of(worker: &WorkerId) -> MachineId {
    worker
        .as_str()
        .parse()
        .unwrap_or_else(|_| unreachable!("every worker id is a valid machine id"))
}
