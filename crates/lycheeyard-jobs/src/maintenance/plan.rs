use super::{MachineState, WaveEntry, WaveNumber, WaveState};
use crate::{
    BootTime, TaskKey,
    scheduler::{JobScheduler, MaintainOrder, Now, StopReason, WaveChange},
};
use lycheeyard_protocol::{MachineId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Beside the maintenance itself each machine needs this long to be cleared and to be seen again.
const TURNAROUND: Duration = Duration::from_secs(3);
/// So much of the time to spare may be spent on waiting for work to end, in hundredths.
const SPARE_PERCENT: u32 = 60;

impl WaveEntry {
    pub fn is_open(&self) -> bool {
        self.progress.state == WaveState::Running
    }

    /// How many more machines may be cleared.
    fn free_slots(&self) -> usize {
        let closing = self.closing.keys();
        let closing = closing.filter(|machine| !self.progress.ordered.contains(*machine));
        self.wave.cap.saturating_sub(self.away() + closing.count())
    }

    /// The machines that have not been told to begin.
    fn pending(&self) -> impl Iterator<Item = &MachineId> {
        self.wave.machines.iter().filter(|machine| {
            !self.progress.is_settled(machine)
                && !self.progress.ordered.contains(*machine)
                && !self.closing.contains_key(*machine)
        })
    }

    /// How long work on the next machine may go on without making the wave late.
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
    /// Clears machines for maintenance and tells those that are clear to begin.
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
            self.close_machines(number, now);
            self.clear_machines(number, now);
            self.order_begun(number);
            self.complete(number);
        }
        self.mark_closing_workers();
        self.send_again(now);
    }

    /// Chooses the machines that are to begin next, those with the least to lose first.
    fn close_machines(&mut self, number: WaveNumber, now: Now) {
        let entry = &self.waves[&number];
        let slots = entry.free_slots();
        if slots == 0 {
            return;
        }
        let busy = self.closing_machines();
        let up = entry.pending().filter(|machine| {
            let info = self.machines.get(*machine);
            info.is_some_and(|info| info.state == MachineState::Up) && !busy.contains(*machine)
        });
        let mut next: Vec<(u64, MachineId)> = up
            .map(|machine| (self.loss_on(machine, now.boot), machine.clone()))
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
            entry.closing.extend(chosen);
        }
    }

    /// Stops what still runs on closing machines once its time is over.
    fn clear_machines(&mut self, number: WaveNumber, now: Now) {
        let closing = self.waves[&number].closing.iter();
        let over = closing.filter(|(_, until)| until.is_past(now.boot));
        let tasks: Vec<TaskKey> = over
            .filter_map(|(machine, _)| self.worker_on(machine))
            .filter_map(|worker| self.workers.get(worker))
            .flat_map(|entry| entry.tasks.iter().cloned())
            .collect();
        let is_late = self.waves[&number].progress.due_at.is_past(now.wall);
        for task in tasks {
            let Some(run) = self.runs.get(&task) else {
                continue;
            };
            // Long-running tasks leave one by one, as those on workers that are about to go.
            let stays = run.kind.lasts() && !(is_late && self.may_be_stopped(&task));
            if stays || run.stop.is_some() {
                continue;
            }
            self.stop_whole(&task, StopReason::Maintenance);
        }
    }

    /// Whether nothing limits how many tasks of a long-running step are away.
    fn may_be_stopped(&self, task: &TaskKey) -> bool {
        let step = self.step(&task.step);
        step.is_some_and(|step| step.max_unavailable.is_none())
    }

    /// Records that clear machines are told to begin; they are told once that is durable.
    fn order_begun(&mut self, number: WaveNumber) {
        let closing = self.waves[&number].closing.keys();
        let clear: Vec<MachineId> = closing
            .filter(|machine| !self.waves[&number].progress.ordered.contains(*machine))
            .filter(|machine| {
                let worker = self.worker_on(machine);
                let entry = worker.and_then(|worker| self.workers.get(worker));
                entry.is_none_or(|entry| entry.tasks.is_empty() && entry.unknown_runs.is_empty())
            })
            .cloned()
            .collect();
        if clear.is_empty() {
            return;
        }
        if let Some(entry) = self.waves.get_mut(&number) {
            entry.progress.ordered.extend(clear);
            self.dirty_waves.insert(number);
        }
    }

    fn complete(&mut self, number: WaveNumber) {
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

    /// Keeps new work off the workers whose machines are to begin.
    fn mark_closing_workers(&mut self) {
        let machines = self.closing_machines();
        let closing: BTreeSet<WorkerId> = machines
            .iter()
            .filter_map(|machine| self.worker_on(machine).cloned())
            .collect();
        for (id, entry) in &mut self.workers {
            entry.is_closing = closing.contains(id);
        }
    }

    /// Tells machines again that have not answered.
    fn send_again(&mut self, now: Now) {
        let mut due = Vec::new();
        for (number, entry) in &mut self.waves {
            let over = |until: &BootTime| until.is_past(now.boot);
            let machines = entry.paused.iter().filter(|(_, until)| over(until));
            let machines: Vec<MachineId> = machines.map(|(machine, _)| machine.clone()).collect();
            for machine in machines {
                entry.paused.remove(&machine);
                due.push((*number, machine));
            }
        }
        for (number, machine) in due {
            self.order_maintenance(number, &machine);
        }
    }

    /// Tells the machines to begin that a durable record names.
    pub(crate) fn order_recorded(&mut self, change: &WaveChange) {
        let number = change.number;
        let Some(entry) = self.waves.get(&number) else {
            return;
        };
        let recorded = change.progress.ordered.iter();
        let untold: Vec<MachineId> = recorded
            .filter(|machine| {
                !entry.sent.contains(*machine) && !entry.paused.contains_key(*machine)
            })
            .cloned()
            .collect();
        for machine in untold {
            self.order_maintenance(number, &machine);
        }
    }

    fn order_maintenance(&mut self, number: WaveNumber, machine: &MachineId) {
        let Some(entry) = self.waves.get_mut(&number) else {
            return;
        };
        let is_wanted = entry.progress.ordered.contains(machine);
        if is_wanted && !entry.progress.is_settled(machine) {
            entry.sent.insert(machine.clone());
            self.maintenance_orders.push(MaintainOrder {
                wave: number,
                machine: machine.clone(),
            });
        }
    }

    /// The machines that are to begin, of all waves.
    fn closing_machines(&self) -> BTreeSet<MachineId> {
        let open = self.waves.values().filter(|entry| entry.is_open());
        let closing = open.flat_map(|entry| {
            let ordered = entry.progress.ordered.difference(&entry.progress.begun);
            entry.closing.keys().chain(ordered).cloned()
        });
        closing.collect()
    }

    fn worker_on(&self, machine: &MachineId) -> Option<&WorkerId> {
        self.machines.get(machine)?.worker.as_ref()
    }

    /// What would be lost if all that runs on a machine ended now.
    fn loss_on(&self, machine: &MachineId, now: BootTime) -> u64 {
        let entry = self
            .worker_on(machine)
            .and_then(|worker| self.workers.get(worker));
        let tasks = entry.into_iter().flat_map(|entry| entry.tasks.iter());
        let runs = tasks.filter_map(|task| Some((task, self.runs.get(task)?)));
        runs.map(|(task, run)| self.stop_cost(task, run, now))
            .fold(0, u64::saturating_add)
    }
}
