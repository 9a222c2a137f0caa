use super::{MachineState, WaveEntry, WaveNumber, WaveState};
use crate::{
    BootTime, TaskKey,
    scheduler::{JobScheduler, MaintenanceOrder, Now, StopReason, WaveChange},
};
use lycheeyard_protocol::{MachineId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The time that each machine needs in addition to the maintenance itself: to be drained, and to be listed as up
/// again.
const TURNAROUND: Duration = Duration::from_secs(3);
/// The percentage of the spare time that may be spent waiting for runs to end.
const SPARE_PERCENT: u32 = 60;

impl WaveEntry {
    pub fn is_open(&self) -> bool {
        self.progress.state == WaveState::Running
    }

    /// Returns how many more machines may be drained under the cap of the wave.
    fn free_slots(&self) -> usize {
        let draining = self.draining.keys();
        let draining = draining.filter(|machine| !self.progress.ordered.contains(*machine));
        self.wave
            .cap
            .saturating_sub(self.unavailable_count() + draining.count())
    }

    /// Returns the machines that are neither settled, ordered to begin nor being drained.
    fn pending(&self) -> impl Iterator<Item = &MachineId> {
        self.wave.machines.iter().filter(|machine| {
            !self.progress.is_settled(machine)
                && !self.progress.ordered.contains(*machine)
                && !self.draining.contains_key(*machine)
        })
    }

    /// Returns how long runs on the next machine may continue without making the wave late.
    fn spare_time(&self, maintenance: Duration, now: Now) -> Duration {
        let left = u32::try_from(self.pending().count()).unwrap_or(u32::MAX);
        let cap = u32::try_from(self.wave.cap.max(1)).unwrap_or(u32::MAX);
        let rounds = left.div_ceil(cap).max(1);
        let until_due = self.progress.due_at.since(now.wall);
        let needed = (maintenance + TURNAROUND).saturating_mul(rounds);
        let spare = until_due.saturating_sub(needed) / rounds;
        spare * SPARE_PERCENT / 100
    }
}

impl JobScheduler {
    /// Drains machines for maintenance and orders those that are drained to begin.
    pub(crate) fn plan_maintenance(&mut self, now: Now) {
        if self.waves.is_empty() {
            return;
        }
        let open: Vec<WaveNumber> = self
            .waves
            .iter()
            .filter(|(_, entry)| entry.is_open())
            .map(|(number, _)| *number)
            .collect();
        for number in open {
            self.drain_machines(number, now);
            self.stop_overdue_runs(number, now);
            self.record_orders(number);
            self.complete_if_settled(number);
        }
        self.mark_draining_workers();
        self.resend_orders(now);
    }

    /// Chooses the machines to drain next, those with the lowest stop cost first.
    fn drain_machines(&mut self, number: WaveNumber, now: Now) {
        let entry = &self.waves[&number];
        let slots = entry.free_slots();
        if slots == 0 {
            return;
        }
        let draining = self.draining_machines();
        let up = entry.pending().filter(|machine| {
            let info = self.machines.get(*machine);
            info.is_some_and(|info| info.state == MachineState::Up) && !draining.contains(*machine)
        });
        let mut next: Vec<(u64, MachineId)> = up
            .map(|machine| (self.stop_cost_on(machine, now.boot), machine.clone()))
            .collect();
        next.sort();
        let until = now
            .boot
            .after(entry.spare_time(self.limits.maintenance, now));
        let chosen: BTreeMap<MachineId, BootTime> = next
            .into_iter()
            .take(slots)
            .map(|(_, machine)| (machine, until))
            .collect();
        if let Some(entry) = self.waves.get_mut(&number) {
            entry.draining.extend(chosen);
        }
    }

    /// Stops the runs that remain on draining machines after the drain deadline.
    fn stop_overdue_runs(&mut self, number: WaveNumber, now: Now) {
        let draining = self.waves[&number].draining.iter();
        let overdue = draining.filter(|(_, until)| until.is_past(now.boot));
        let tasks: Vec<TaskKey> = overdue
            .filter_map(|(machine, _)| self.worker_on(machine))
            .filter_map(|worker| self.workers.get(worker))
            .flat_map(|entry| entry.tasks.iter().cloned())
            .collect();
        let is_late = self.waves[&number].progress.due_at.is_past(now.wall);
        for task in tasks {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            // Long-running tasks are moved one by one, like those on workers that are about to leave.
            let is_kept =
                run.kind.is_long_running() && !(is_late && self.has_no_unavailability_limit(&task));
            if is_kept || run.stop_reason.is_some() {
                continue;
            }
            self.stop_with_gang(&task, StopReason::Maintenance, now.boot);
        }
    }

    /// Whether a task belongs to a step that sets no limit on unavailable tasks.
    fn has_no_unavailability_limit(&self, task: &TaskKey) -> bool {
        let step = self.step(&task.step);
        step.is_some_and(|step| step.max_unavailable.is_none())
    }

    /// Records that drained machines are ordered to begin. The orders are sent once the record is durable.
    fn record_orders(&mut self, number: WaveNumber) {
        let draining = self.waves[&number].draining.keys();
        let drained: Vec<MachineId> = draining
            .filter(|machine| !self.waves[&number].progress.ordered.contains(*machine))
            .filter(|machine| {
                let worker = self.worker_on(machine);
                let entry = worker.and_then(|worker| self.workers.get(worker));
                entry.is_none_or(|entry| entry.tasks.is_empty() && entry.unknown_runs.is_empty())
            })
            .cloned()
            .collect();
        if drained.is_empty() {
            return;
        }
        if let Some(entry) = self.waves.get_mut(&number) {
            entry.progress.ordered.extend(drained);
            self.dirty_waves.insert(number);
        }
    }

    fn complete_if_settled(&mut self, number: WaveNumber) {
        let Some(entry) = self.waves.get_mut(&number) else {
            return;
        };
        let machines = &entry.wave.machines;
        if machines
            .iter()
            .all(|machine| entry.progress.is_settled(machine))
        {
            entry.progress.state = WaveState::Completed;
            self.dirty_waves.insert(number);
        }
    }

    /// Marks the workers on draining machines, so that they get no new runs.
    fn mark_draining_workers(&mut self) {
        let machines = self.draining_machines();
        let draining: BTreeSet<WorkerId> = machines
            .iter()
            .filter_map(|machine| self.worker_on(machine).cloned())
            .collect();
        for (id, entry) in &mut self.workers {
            entry.is_draining_for_maintenance = draining.contains(id);
        }
    }

    /// Queues the orders again for the machines whose retry time has passed.
    fn resend_orders(&mut self, now: Now) {
        let mut due = Vec::new();
        for (number, entry) in &mut self.waves {
            let is_due = |until: &BootTime| until.is_past(now.boot);
            let machines = entry.retry_at.iter().filter(|(_, until)| is_due(until));
            let machines: Vec<MachineId> = machines.map(|(machine, _)| machine.clone()).collect();
            for machine in machines {
                entry.retry_at.remove(&machine);
                due.push((*number, machine));
            }
        }
        for (number, machine) in due {
            self.push_maintenance_order(number, &machine);
        }
    }

    /// Queues the orders for the machines that a durable record names, unless they are in flight or await a retry.
    pub(crate) fn push_recorded_orders(&mut self, change: &WaveChange) {
        let number = change.number;
        let Some(entry) = self.waves.get(&number) else {
            return;
        };
        let recorded = change.progress.ordered.iter();
        let unsent: Vec<MachineId> = recorded
            .filter(|machine| {
                !entry.in_flight.contains(*machine) && !entry.retry_at.contains_key(*machine)
            })
            .cloned()
            .collect();
        for machine in unsent {
            self.push_maintenance_order(number, &machine);
        }
    }

    fn push_maintenance_order(&mut self, number: WaveNumber, machine: &MachineId) {
        let Some(entry) = self.waves.get_mut(&number) else {
            return;
        };
        let is_wanted = entry.progress.ordered.contains(machine);
        if is_wanted && !entry.progress.is_settled(machine) {
            entry.in_flight.insert(machine.clone());
            self.maintenance_orders.push(MaintenanceOrder {
                wave: number,
                machine: machine.clone(),
            });
        }
    }

    /// Returns the machines of all open waves that are being drained or have been ordered but have not begun.
    fn draining_machines(&self) -> BTreeSet<MachineId> {
        let open = self.waves.values().filter(|entry| entry.is_open());
        let draining = open.flat_map(|entry| {
            let ordered = entry.progress.ordered.difference(&entry.progress.begun);
            entry.draining.keys().chain(ordered).cloned()
        });
        draining.collect()
    }

    fn worker_on(&self, machine: &MachineId) -> Option<&WorkerId> {
        self.machines.get(machine)?.worker.as_ref()
    }

    /// Returns the total stop cost of the runs on a machine.
    fn stop_cost_on(&self, machine: &MachineId, now: BootTime) -> u64 {
        let entry = self
            .worker_on(machine)
            .and_then(|worker| self.workers.get(worker));
        let tasks = entry.into_iter().flat_map(|entry| entry.tasks.iter());
        let runs = tasks.filter_map(|task| Some((task, self.runs.get(task)?)));
        runs.map(|(task, run)| self.stop_cost(task, run, now))
            .fold(0, u64::saturating_add)
    }
}
