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

const LIST_EVERY: Duration = Duration::from_millis(700);
/// How old a list is when it comes.
const LIST_TIME: Duration = Duration::from_millis(300);

/// The machines of the workers, which bear their names, and the waves of maintenance.
#[derive(Clone, Debug, Default)]
pub struct SimulatedMachines {
    /// Orders get no answer and are carried out after this.
    pub order_delay: Option<Duration>,
    /// The machines that have begun each wave.
    pub begun: BTreeMap<WaveNumber, BTreeSet<MachineId>>,
    waves: BTreeMap<WaveNumber, Wave>,
    /// The durable records.
    pub(super) records: BTreeMap<WaveNumber, WaveProgress>,
    /// The machines that are away, for which wave and until when.
    away: BTreeMap<WorkerId, (WaveNumber, BootTime)>,
    late: Vec<(MaintenanceOrder, BootTime, Epoch)>,
    /// The newest epoch that each machine has seen.
    epochs: BTreeMap<MachineId, Epoch>,
    listed_at: BootTime,
    /// A list that is on its way, and when it was asked for.
    list: Option<(BootTime, Vec<MachineInfo>)>,
}

impl SimulatedMachines {
    /// Whether the machine of a worker is away.
    pub(super) fn is_away(&self, worker: &WorkerId) -> bool {
        self.away.contains_key(worker)
    }
}

impl SimulatedSite {
    /// Lets operators ask for a wave.
    pub fn request_wave(&mut self, wave: Wave) {
        self.machines.waves.insert(wave.number, wave.clone());
        self.scheduler.wave_listed(wave, self.now);
    }

    /// What the record says of a wave.
    #[must_use]
    pub fn wave_state(&self, number: WaveNumber) -> Option<WaveState> {
        let record = self.machines.records.get(&number)?;
        Some(record.state)
    }

    /// How many machines are away for a wave.
    #[must_use]
    pub fn machines_in_maintenance(&self, number: WaveNumber) -> usize {
        let away = self.machines.away.values();
        away.filter(|(wave, _)| *wave == number).count()
    }

    /// Brings machines back, carries late orders out and lists the machines where that is wanted.
    pub(super) fn run_machines(&mut self) {
        let now = self.now.boot;
        let back = self.machines.away.iter();
        let back = back.filter(|(_, (_, until))| until.is_past(now));
        let back: Vec<WorkerId> = back.map(|(id, _)| id.clone()).collect();
        for id in back {
            self.machines.away.remove(&id);
            if let Some(worker) = self.workers.get(&id) {
                let info = worker.info.clone();
                self.scheduler.worker_listed(info, self.now);
            }
        }
        let late = std::mem::take(&mut self.machines.late).into_iter();
        let (due, later): (Vec<_>, Vec<_>) = late.partition(|(_, at, _)| at.is_past(now));
        self.machines.late = later;
        for (order, _, epoch) in due {
            self.maintain(&order, epoch);
        }
        let is_due = self.machines.listed_at.after(LIST_EVERY).is_past(now);
        if is_due && self.scheduler.has_open_waves() {
            self.machines.listed_at = now;
            self.machines.list = Some((now, self.list_machines()));
        }
        let arrived = |list: &mut (BootTime, _)| list.0.after(LIST_TIME).is_past(now);
        if let Some((asked_at, machines)) = self.machines.list.take_if(arrived) {
            self.scheduler.machines_listed(machines, asked_at);
        }
    }

    pub(super) fn deliver_maintenance(&mut self, order: &MaintenanceOrder) {
        let answer = if let Some(delay) = self.machines.order_delay {
            let at = self.now.boot.after(delay);
            self.machines.late.push((order.clone(), at, self.epoch));
            MaintenanceAnswer::Unclear
        } else {
            self.maintain(order, self.epoch)
        };
        self.scheduler
            .maintenance_answered(order.wave, &order.machine, answer, self.now);
    }

    /// Takes up the records of waves that are durable.
    pub(super) fn note_waves(&mut self, batch: &Batch) {
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

    /// The machines of a wave that are still there and have not begun.
    fn not_begun(&self, number: WaveNumber) -> Vec<MachineId> {
        let present = self.workers.keys().map(machine_of);
        let wave = &self.machines.waves[&number].machines;
        let begun = self.machines.begun.get(&number);
        let missing = present.filter(|machine| {
            wave.contains(machine) && !begun.is_some_and(|begun| begun.contains(machine))
        });
        missing.collect()
    }

    /// Hands the waves to a new holder, with their records.
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
            let is_away = self.machines.away.contains_key(id);
            MachineInfo {
                id: machine_of(id),
                state: if is_away {
                    MachineState::InMaintenance
                } else {
                    MachineState::Up
                },
                worker: (!is_away).then(|| id.clone()),
            }
        };
        ids.map(machine).collect()
    }

    /// Carries an order out, as the platform would.
    fn maintain(&mut self, order: &MaintenanceOrder, epoch: Epoch) -> MaintenanceAnswer {
        let seen = self
            .machines
            .epochs
            .entry(order.machine.clone())
            .or_default();
        if epoch < *seen {
            return MaintenanceAnswer::Busy;
        }
        *seen = epoch;
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
        if self.machines.away.contains_key(&id) {
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
        self.machines.away.insert(id.clone(), (order.wave, until));
        self.scheduler.worker_unlisted(&id);
        MaintenanceAnswer::Begun
    }

    /// Checks that no long-running task at work is taken away while too many others of its step are.
    fn check_availability(&mut self, id: &WorkerId) {
        let worker = &self.workers[id];
        let at_work: Vec<_> = worker.tasks().cloned().collect();
        for task in at_work {
            let step = self.records.jobs[&task.step.job].steps[task.step.step].clone();
            let Some(may_miss) = step.max_unavailable.filter(|_| step.long_running) else {
                continue;
            };
            let others_away = (step.tasks as usize).saturating_sub(self.ready_tasks(&task.step));
            if others_away >= may_miss as usize {
                self.violations.push(Violation::OverMaxUnavailable(task));
            }
        }
    }
}

fn machine_of(worker: &WorkerId) -> MachineId {
    worker
        .as_str()
        .parse()
        .unwrap_or_else(|_| unreachable!("a worker's name is a machine's name"))
}
