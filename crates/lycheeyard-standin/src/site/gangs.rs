use super::{
    simulated_run::SimulatedRun,
    worker::{SimulatedWorker, WorkerFaults},
};
use lycheeyard_jobs::{BootTime, RunEnd, RunNumber, StepKey, TaskKey};
use lycheeyard_protocol::{RackId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// How long a gang member waits for the other members.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// The members of each run of a gang, with their workers.
pub(super) type Gangs = BTreeMap<(StepKey, RunNumber), Vec<(WorkerId, TaskKey)>>;

/// Collects the gang members on all workers.
pub(super) fn find_gangs(workers: &BTreeMap<WorkerId, SimulatedWorker>) -> Gangs {
    let mut gangs = Gangs::new();
    for (id, worker) in workers {
        for (task, run) in worker.runs.iter().filter(|(_, run)| run.is_gang) {
            let key = (task.step.clone(), run.number);
            gangs
                .entry(key)
                .or_default()
                .push((id.clone(), task.clone()));
        }
    }
    gangs
}

/// Whether a member that started at `started_at` has waited too long for the others.
pub(super) fn has_timed_out(started_at: BootTime, now: BootTime) -> bool {
    started_at.after(GANG_TIMEOUT).is_past(now)
}

/// Ends the remaining members of the gangs in `broken`, in which at least one member is ending or has ended.
pub(super) fn break_gangs(
    workers: &mut BTreeMap<WorkerId, SimulatedWorker>,
    gangs: &Gangs,
    broken: &[(StepKey, RunNumber)],
    at: BootTime,
) {
    for key in broken {
        for (worker, task) in gangs.get(key).into_iter().flatten() {
            if let Some(worker) = workers.get_mut(worker) {
                worker.begin_ending(task, RunEnd::PeerEnded, at);
            }
        }
    }
}

/// The work that a run does in a unit of time.
pub(super) fn pace(faults: &WorkerFaults, run: &SimulatedRun) -> f64 {
    f64::from(run.cpu_share.0) / 100.0 / faults.slowdown
}

/// The pace at which all members of each gang progress: that of the slowest member, and less for a gang that is to stay on one rack and
/// does not. A member that hangs does not count.
pub(super) fn gang_paces(
    workers: &BTreeMap<WorkerId, SimulatedWorker>,
    remote_slowdown: u32,
) -> BTreeMap<(StepKey, RunNumber), f64> {
    let mut slowest = BTreeMap::new();
    let mut racks: BTreeMap<_, BTreeSet<&RackId>> = BTreeMap::new();
    for worker in workers.values().filter(|worker| !worker.faults.hangs) {
        for (task, run) in worker.runs.iter().filter(|(_, run)| run.is_gang) {
            let key = (task.step.clone(), run.number);
            if run.same_rack {
                let racks = racks.entry(key.clone()).or_default();
                racks.insert(&worker.info.rack);
            }
            let slowest = slowest.entry(key).or_insert(f64::INFINITY);
            *slowest = slowest.min(pace(&worker.faults, run));
        }
    }
    let paces = slowest.into_iter().map(|(key, pace)| {
        let is_spread = racks.get(&key).is_some_and(|racks| racks.len() > 1);
        let slowdown = if is_spread { remote_slowdown } else { 1 };
        (key, pace / f64::from(slowdown))
    });
    paces.collect()
}
