//! Workers that start again under their ids with random numbers, while the list and the reports show present and former incarnations
//! in random order.

mod support;

use lycheeyard_jobs::{Job, WorkerInfo, WorkerKey};
use lycheeyard_protocol::{Incarnation, WorkerId};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker, SiteFault};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use support::{BULK, assert_no_violations, gang, job, secs, site, step};

const WORKERS: usize = 4;
const TICK: Duration = Duration::from_millis(100);
const TICKS: usize = 400;
const SEEDS: u64 = 12;

/// A site and what its workers and its holder have seen.
struct Scene {
    site: SimulatedSite,
    rng: SmallRng,
    /// All incarnations of each worker.
    born: BTreeMap<WorkerId, BTreeSet<Incarnation>>,
    /// Those that the present holder was told of.
    told: BTreeSet<WorkerKey>,
    submitted: usize,
}

impl Scene {
    fn new(seed: u64) -> Self {
        let mut site = site(1, WORKERS);
        site.allows_missing_peers = true;
        let ids: Vec<WorkerId> = site.workers.keys().cloned().collect();
        let mut scene = Self {
            site,
            rng: SmallRng::seed_from_u64(seed),
            born: BTreeMap::new(),
            told: BTreeSet::new(),
            submitted: 0,
        };
        for id in ids {
            scene.restart(&id);
            scene.list(&id);
        }
        scene
    }

    fn random_worker(&mut self) -> WorkerId {
        let number = self.rng.random_range(0..WORKERS);
        let id = self.site.workers.keys().nth(number);
        id.expect("worker exists").clone()
    }

    /// Starts a worker again under its id, with a number that it has not had. The holder is not told.
    fn restart(&mut self, id: &WorkerId) {
        let born = self.born.entry(id.clone()).or_default();
        let incarnation = loop {
            let incarnation = Incarnation(self.rng.random_range(1..100_000));
            if born.insert(incarnation) {
                break incarnation;
            }
        };
        let mut info = self.site.workers[id].info.clone();
        info.key.incarnation = incarnation;
        let worker = SimulatedWorker::new(info);
        self.site.workers.insert(id.clone(), worker);
    }

    fn info(&self, id: &WorkerId) -> WorkerInfo {
        self.site.workers[id].info.clone()
    }

    fn tell(&mut self, info: WorkerInfo) {
        self.told.insert(info.key.clone());
        self.site.scheduler.worker_listed(info, self.site.now);
    }

    fn list(&mut self, id: &WorkerId) {
        self.tell(self.info(id));
    }

    /// Lists a former incarnation. The list is trusted if it names one with a higher number that the holder was not told of.
    fn list_former(&mut self, id: &WorkerId) {
        let mut info = self.info(id);
        let present = info.key.incarnation;
        let born: Vec<Incarnation> = self.born[id].iter().copied().collect();
        info.key.incarnation = born[self.rng.random_range(0..born.len())];
        if info.key.incarnation < present || self.told.contains(&info.key) {
            self.tell(info);
        }
    }

    fn take_over(&mut self) {
        self.told.clear();
        self.site.inject_fault(SiteFault::Takeover);
        let workers = self.site.workers.values();
        self.told
            .extend(workers.map(|worker| worker.info.key.clone()));
    }

    /// Lets the workers that can be reached answer report requests.
    fn answer_requests(&mut self) {
        let asked = self.site.scheduler.workers_to_poll();
        let asked: Vec<WorkerKey> = asked.map(|info| info.key.clone()).collect();
        for key in asked {
            let worker = &self.site.workers[&key.id];
            let present = worker.info.key.clone();
            if !worker.faults.is_partitioned && present != key {
                self.told.insert(present.clone());
                let (scheduler, now) = (&mut self.site.scheduler, self.site.now);
                scheduler.worker_restarted(&key, present.incarnation, now);
            }
        }
    }

    fn set_silent(&mut self, id: &WorkerId, is_silent: bool) {
        if let Some(worker) = self.site.workers.get_mut(id) {
            worker.faults.is_partitioned = is_silent;
        }
    }

    fn submit(&mut self) {
        let tasks = self.rng.random_range(1..6);
        let time_ms = self.rng.random_range(200..6000);
        let step = if self.rng.random_bool(0.3) {
            gang(tasks, 2, time_ms)
        } else {
            step(tasks, 2, time_ms)
        };
        let job: Job = job(
            &self.site,
            &format!("job-{}", self.submitted),
            BULK,
            vec![step],
        );
        self.submitted += 1;
        self.site.submit(job);
    }

    fn run_tick(&mut self) {
        let id = self.random_worker();
        match self.rng.random_range(0..100) {
            0..4 => self.restart(&id),
            4..14 => self.list(&id),
            14..22 => self.list_former(&id),
            22..26 => self.site.scheduler.worker_unlisted(&id),
            26..28 => self.set_silent(&id, true),
            28..36 => self.set_silent(&id, false),
            36..37 => self.take_over(),
            37..57 => self.submit(),
            _ => {}
        }
        self.site.advance(TICK);
        self.answer_requests();
    }

    /// Lets all workers answer and be listed.
    fn recover(&mut self) {
        let ids: Vec<WorkerId> = self.site.workers.keys().cloned().collect();
        for id in ids {
            self.set_silent(&id, false);
            self.list(&id);
        }
        self.site.advance(TICK);
        self.answer_requests();
    }
}

// Guards against tasks that run twice, and workers that are used no more, by what the list and the reports show in any order.
#[rstest]
fn runs_no_task_twice_whatever_is_listed_and_reported(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] batch: u64,
) {
    for seed in batch * SEEDS..(batch + 1) * SEEDS {
        let mut scene = Scene::new(seed);
        for _ in 0..TICKS {
            scene.run_tick();
        }
        scene.recover();
        assert!(scene.site.settle(secs(200)), "seed {seed}: jobs do not end");
        let violations = &scene.site.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
        assert_no_violations(&scene.site);
    }
}
