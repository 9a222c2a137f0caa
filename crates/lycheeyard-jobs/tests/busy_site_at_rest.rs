//! Random days that fill a site with gangs, with trouble, in virtual time: once no more work comes, a step that could run is not kept from
//! it while others, of which some run for long, leave half of the site free.
//!
//! Guards against preferences and beliefs about workers that keep jobs from room for longer than callers accept.

mod support;

use lycheeyard_jobs::Job;
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::{SimulatedSite, SiteFault, WorkerFaults};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{collections::BTreeMap, time::Duration};
use support::{
    assert_no_violations,
    busy::{ORGANISATIONS, PER_RACK, RACKS, submit_random},
    ids, list_workers, organisation, policy,
    random::seeds,
    rest::kept_jobs,
    restart, worker,
};

const TICK: Duration = Duration::from_millis(100);
/// For how long work is handed in.
const TRAFFIC_TICKS: u32 = 400;
/// How long trouble of workers lasts.
const TROUBLE_TICKS: u32 = 65;
/// What callers are promised: no job is kept from running from 14 s after the end of the traffic on; less 3 s.
const REST: Duration = Duration::from_secs(14 - 3);
/// For how long jobs are looked at from then on.
const LOOK_TIME: Duration = Duration::from_secs(40);
/// By how much the run times on slow workers are longer.
const SLOW_FACTOR: f64 = 1.8;
/// One worker in this many is slow.
const SLOW_WORKERS: usize = 4;
/// The accelerators that are guaranteed to each organisation, on days with guarantees.
const GUARANTEES: [u32; 3] = [80, 40, 20];

/// What happens to a part of the workers for a while.
#[derive(Clone, Copy)]
enum Trouble {
    Fail,
    FailAtOnce,
    Hang,
    Slow,
    AnswerLate,
    Partition,
}

const TROUBLES: [Trouble; 6] = [
    Trouble::Fail,
    Trouble::FailAtOnce,
    Trouble::Hang,
    Trouble::Slow,
    Trouble::AnswerLate,
    Trouble::Partition,
];

/// A day of random work and trouble.
struct Day {
    rng: SmallRng,
    site: SimulatedSite,
    /// The jobs that nobody cancels.
    jobs: Vec<Job>,
    submitted: usize,
    /// The jobs that are cancelled, and when.
    cancellations: Vec<(u32, Job)>,
    /// The workers in trouble, and when it ends.
    troubled: BTreeMap<WorkerId, u32>,
    /// The workers that leave, and when.
    leaving: BTreeMap<WorkerId, u32>,
    store_up_at: Option<u32>,
    next_worker: usize,
    jobs_per_tick: f64,
    has_trouble: bool,
}

fn usual_faults(slow: bool) -> WorkerFaults {
    WorkerFaults {
        slowdown: if slow { SLOW_FACTOR } else { 1.0 },
        ..WorkerFaults::default()
    }
}

fn is_slow(id: &WorkerId) -> bool {
    let number = id.to_string();
    let number = number.trim_start_matches("w-").parse::<usize>();
    number.expect("worker has a number") % SLOW_WORKERS == 0
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut policy = policy();
        if rng.random_bool(0.5) {
            let guarantees = ORGANISATIONS.into_iter().zip(GUARANTEES);
            let guarantees = guarantees.map(|(name, count)| (organisation(name), count));
            policy.guarantees.extend(guarantees);
        }
        let mut site = support::site_with(0, 0, policy);
        site.allows_missing_peers = true;
        let mut day = Self {
            jobs_per_tick: rng.random_range(0.06..0.2),
            has_trouble: rng.random_bool(0.8),
            rng,
            site,
            jobs: Vec::new(),
            submitted: 0,
            cancellations: Vec::new(),
            troubled: BTreeMap::new(),
            leaving: BTreeMap::new(),
            store_up_at: None,
            next_worker: 0,
        };
        for number in 0..RACKS * PER_RACK {
            day.add_worker(number % RACKS);
        }
        day
    }

    fn add_worker(&mut self, rack: usize) {
        let mut new = worker(self.next_worker, rack);
        new.info.capacity.cpu_milli = 64_000;
        new.faults = usual_faults(is_slow(&new.info.key.id));
        self.next_worker += 1;
        self.site.add_worker(new);
    }

    fn run(&mut self) {
        for tick in 0..TRAFFIC_TICKS {
            if self.rng.random_bool(self.jobs_per_tick) {
                self.submit(tick);
            }
            if self.has_trouble {
                self.make_trouble(tick);
            }
            self.end_trouble(tick);
            self.site.advance(TICK);
        }
    }

    fn submit(&mut self, tick: u32) {
        let new = submit_random(&mut self.site, &mut self.rng, self.submitted);
        self.submitted += 1;
        if new.is_cancelled {
            let at = tick + self.rng.random_range(1..100);
            self.cancellations.push((at, new.job));
        } else {
            self.jobs.push(new.job);
        }
    }

    fn make_trouble(&mut self, tick: u32) {
        if self.rng.random_bool(0.012) {
            let trouble = *TROUBLES.choose(&mut self.rng).expect("there are troubles");
            let share = self.rng.random_range(0.06..0.25);
            self.trouble_workers(trouble, share, tick);
        }
        if self.rng.random_bool(0.01) {
            self.replace_workers(tick);
        }
        if self.rng.random_bool(0.01) {
            let id = self.random_worker();
            restart(&mut self.site, &id);
            self.recover(&id);
        }
        if self.rng.random_bool(0.006) {
            self.site.inject_fault(SiteFault::Takeover);
        }
        if self.store_up_at.is_none() && self.rng.random_bool(0.005) {
            self.site.inject_fault(SiteFault::StoreDown);
            self.store_up_at = Some(tick + self.rng.random_range(10..60));
        }
    }

    fn random_worker(&mut self) -> WorkerId {
        let mut ids = ids(&self.site);
        ids.retain(|id| !self.leaving.contains_key(id));
        ids.swap_remove(self.rng.random_range(0..ids.len()))
    }

    fn trouble_workers(&mut self, trouble: Trouble, share: f64, tick: u32) {
        for id in ids(&self.site) {
            if !self.rng.random_bool(share) || self.leaving.contains_key(&id) {
                continue;
            }
            let delay = Duration::from_millis(self.rng.random_range(200..6000));
            let worker = self.site.workers.get_mut(&id).expect("worker exists");
            let faults = &mut worker.faults;
            match trouble {
                Trouble::Fail => faults.fails = true,
                Trouble::FailAtOnce => faults.fails_at_once = true,
                Trouble::Hang => faults.hangs = true,
                Trouble::Slow => faults.slowdown = 5.0,
                Trouble::AnswerLate => faults.order_delay = Some(delay),
                Trouble::Partition => faults.is_partitioned = true,
            }
            self.troubled.insert(id, tick + TROUBLE_TICKS);
        }
    }

    /// Some workers announce that they leave, or fall silent for good. Others take the place of most.
    fn replace_workers(&mut self, tick: u32) {
        for _ in 0..self.rng.random_range(1..4) {
            let id = self.random_worker();
            let worker = self.site.workers.get_mut(&id).expect("worker exists");
            if self.rng.random_bool(0.5) {
                worker.info.draining = true;
                self.site.list_worker(&id);
            } else {
                worker.faults.is_partitioned = true;
            }
            self.leaving
                .insert(id, tick + self.rng.random_range(10..30));
            if self.rng.random_bool(0.8) {
                let rack = self.rng.random_range(0..RACKS);
                self.add_worker(rack);
            }
        }
    }

    fn recover(&mut self, id: &WorkerId) {
        if let Some(worker) = self.site.workers.get_mut(id) {
            worker.faults = usual_faults(is_slow(id));
        }
    }

    /// Ends what is due to end by `tick`.
    fn end_trouble(&mut self, tick: u32) {
        for id in take_due(&mut self.troubled, tick) {
            if !self.leaving.contains_key(&id) {
                self.recover(&id);
            }
        }
        for id in take_due(&mut self.leaving, tick) {
            self.site.workers.remove(&id);
            self.site.scheduler.worker_unlisted(&id);
        }
        if self.store_up_at.is_some_and(|at| at <= tick) {
            self.store_up_at = None;
            self.site.inject_fault(SiteFault::StoreUp);
        }
        let (due, later) = std::mem::take(&mut self.cancellations)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= tick);
        self.cancellations = later;
        for (_, job) in due {
            self.site.cancel(&job.id);
        }
    }

    /// Ends all trouble.
    fn come_to_rest(&mut self) {
        self.end_trouble(u32::MAX);
        list_workers(&mut self.site);
        self.site.advance(REST);
    }
}

/// Removes and returns the workers whose time has come by `tick`.
fn take_due(times: &mut BTreeMap<WorkerId, u32>, tick: u32) -> Vec<WorkerId> {
    let due = times.iter().filter(|(_, at)| **at <= tick);
    let due: Vec<WorkerId> = due.map(|(id, _)| id.clone()).collect();
    for id in &due {
        times.remove(id);
    }
    due
}

// Guards against a preference for one rack that keeps a gang from room on several for longer than callers accept, and against the same by
// workers that are in quarantine, full, slow or drained. `BUSY_REST_SEEDS=FIRST..END` plays other days.
#[test]
fn no_job_is_kept_from_room_after_a_busy_day() {
    let mut kept = Vec::new();
    for seed in seeds("BUSY_REST_SEEDS") {
        let mut day = Day::new(seed);
        day.run();
        day.come_to_rest();
        for (id, job) in kept_jobs(&mut day.site, &day.jobs, LOOK_TIME) {
            kept.push(format!("seed {seed}: {id}: {job:?}"));
        }
        assert_no_violations(&day.site);
    }
    assert!(kept.is_empty(), "{kept:#?}");
}
