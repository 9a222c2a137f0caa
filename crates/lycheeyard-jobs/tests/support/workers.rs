//! Changes of the workers of a simulated site, of which the scheduler learns only by what workers answer or by a listing.

use lycheeyard_protocol::{Incarnation, WorkerId};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use std::time::Duration;

/// The ids of all workers, in order.
pub fn ids(site: &SimulatedSite) -> Vec<WorkerId> {
    site.workers.keys().cloned().collect()
}

/// The id of the first worker.
pub fn first_worker(site: &SimulatedSite) -> WorkerId {
    let first = site.workers.keys().next();
    first.expect("site has workers").clone()
}

/// Starts a worker again under its id, as the next incarnation. The scheduler is not told.
pub fn restart(site: &mut SimulatedSite, id: &WorkerId) {
    let Incarnation(former) = site.workers[id].info.key.incarnation;
    restart_as(site, id, former + 1);
}

/// Starts a worker again under its id, as this incarnation. The scheduler is not told.
pub fn restart_as(site: &mut SimulatedSite, id: &WorkerId, incarnation: u64) {
    let mut info = site.workers[id].info.clone();
    info.key.incarnation = Incarnation(incarnation);
    site.workers.insert(id.clone(), SimulatedWorker::new(info));
}

/// Starts all workers again under their ids, as the next incarnations. The scheduler is not told.
pub fn restart_all(site: &mut SimulatedSite) {
    for id in ids(site) {
        restart(site, &id);
    }
}

/// Tells the scheduler which incarnations the workers have now.
pub fn list_workers(site: &mut SimulatedSite) {
    let workers = site.workers.values();
    let infos = workers.map(|worker| worker.info.clone()).collect();
    site.scheduler.workers_listed(infos, site.now);
}

/// Sets how much later all workers carry orders out, without an answer; `None` if they carry them out at once.
pub fn delay_orders(site: &mut SimulatedSite, delay: Option<Duration>) {
    for worker in site.workers.values_mut() {
        worker.faults.order_delay = delay;
    }
}

/// Lets workers fail all that they start from now on, or nothing more.
pub fn set_failing(site: &mut SimulatedSite, workers: &[WorkerId], fails: bool) {
    for worker in workers {
        let worker = site.workers.get_mut(worker).expect("worker exists");
        worker.faults.fails = fails;
    }
}
