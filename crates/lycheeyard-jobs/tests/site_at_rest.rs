//! Random days whose trouble ends, in virtual time: whatever came before, a step that could run is not kept from it.
//!
//! Guards against a condition on workers, room or runs that nothing ends.

mod support;

use lycheeyard_jobs::{Job, Resources, RunPhase, Step, StepWait};
use lycheeyard_protocol::WorkerId;
use lycheeyard_standin::SimulatedSite;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, time::Duration};
use support::{
    ACCELERATORS, assert_no_violations, ids, list_workers, policy,
    random::{clear_faults, inject_random_fault, random_job, seeds},
    rest::kept_jobs,
    restart, site_with, worker,
};

const RACKS: usize = 3;
const PER_RACK: usize = 4;
const TICK: Duration = Duration::from_millis(200);
const TICKS: u32 = 200;
/// What callers are promised: no job is kept from running from 14 s after the end of all trouble on; less 3 s.
const REST: Duration = Duration::from_secs(14 - 3);
/// For how long jobs are looked at from then on.
const LOOK_TIME: Duration = Duration::from_secs(40);
/// The label that only some workers have.
const RARE_LABEL: &str = "rare";

/// A day of random work and trouble.
struct Day {
    rng: SmallRng,
    site: SimulatedSite,
    jobs: Vec<Job>,
    /// The workers that leave, and the tick at which they do.
    leaving: BTreeMap<WorkerId, u32>,
    next_worker: usize,
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut site = site_with(0, 0, policy());
        site.allows_missing_peers = true;
        let mut day = Self {
            rng: SmallRng::seed_from_u64(seed),
            site,
            jobs: Vec::new(),
            leaving: BTreeMap::new(),
            next_worker: 0,
        };
        for rack in 0..RACKS * PER_RACK {
            day.add_worker(rack / PER_RACK);
        }
        day
    }

    fn add_worker(&mut self, rack: usize) {
        let mut new = worker(self.next_worker, rack);
        if self.next_worker.is_multiple_of(3) {
            new.info.labels.insert(RARE_LABEL.to_owned());
        }
        self.next_worker += 1;
        self.site.add_worker(new);
    }

    fn run(&mut self) {
        for tick in 0..TICKS {
            if self.rng.random_bool(0.25) {
                self.submit();
            }
            if self.rng.random_bool(0.1) {
                inject_random_fault(&mut self.site, &mut self.rng);
            }
            if self.rng.random_bool(0.15) {
                self.replace_worker(tick);
            }
            if self.rng.random_bool(0.03) {
                self.restart_worker();
            }
            if self.rng.random_bool(0.05) {
                self.resize_worker();
            }
            self.remove_left(tick);
            self.site.advance(TICK);
        }
    }

    fn submit(&mut self) {
        let number = self.jobs.len();
        let mut new = random_job(&self.site, &mut self.rng, number as u64);
        for step in &mut new.steps {
            if self.rng.random_bool(0.1) {
                step.required_label = Some(RARE_LABEL.to_owned());
            }
            if self.rng.random_bool(0.1) {
                *step = Step {
                    tasks: self.rng.random_range(6..12),
                    ..step.clone()
                };
            }
        }
        if self.rng.random_bool(0.05) {
            self.site.failing_jobs.insert(new.id.clone());
        }
        self.jobs.push(new.clone());
        self.site.submit(new);
    }

    fn random_worker(&mut self) -> WorkerId {
        let mut ids = ids(&self.site);
        ids.retain(|id| !self.leaving.contains_key(id));
        ids.swap_remove(self.rng.random_range(0..ids.len()))
    }

    /// A worker announces that it leaves in 2 s to 4 s, or falls silent for good, and another one takes its place.
    fn replace_worker(&mut self, tick: u32) {
        if self.leaving.len() >= PER_RACK {
            return;
        }
        let id = self.random_worker();
        let worker = self.site.workers.get_mut(&id).expect("worker exists");
        if self.rng.random_bool(0.8) {
            worker.info.draining = true;
            self.site.list_worker(&id);
        } else {
            worker.faults.is_partitioned = true;
        }
        let rack = self.site.workers[&id].info.rack.to_string();
        let rack = rack.trim_start_matches("r1-").parse();
        self.add_worker(rack.expect("rack has a number"));
        self.leaving
            .insert(id, tick + self.rng.random_range(10..20));
    }

    /// Removes the workers that leave by `tick`, with what runs on them.
    fn remove_left(&mut self, tick: u32) {
        let leaving = self.leaving.iter();
        let left = leaving.filter(|(_, at)| **at <= tick);
        let left: Vec<WorkerId> = left.map(|(id, _)| id.clone()).collect();
        for id in left {
            self.leaving.remove(&id);
            self.site.workers.remove(&id);
            self.site.scheduler.worker_unlisted(&id);
        }
    }

    fn restart_worker(&mut self) {
        let id = self.random_worker();
        restart(&mut self.site, &id);
        if self.rng.random_bool(0.5) {
            self.site.list_worker(&id);
        }
    }

    fn resize_worker(&mut self) {
        let id = self.random_worker();
        let capacity = Resources {
            accelerators: self.rng.random_range(1..=ACCELERATORS),
            ..self.site.workers[&id].info.capacity
        };
        self.site.resize_worker(&id, capacity);
        self.site.list_worker(&id);
    }

    /// Ends all trouble.
    fn come_to_rest(&mut self) {
        self.remove_left(u32::MAX);
        clear_faults(&mut self.site);
        list_workers(&mut self.site);
        self.site.advance(REST);
    }
}

/// Plays the days and asserts that no job is kept from running by what `counts` selects.
fn assert_none_kept(counts: fn(&StepWait) -> bool) {
    let mut kept = Vec::new();
    for seed in seeds("REST_SEEDS") {
        let mut day = Day::new(seed);
        day.run();
        day.come_to_rest();
        for (id, job) in kept_jobs(&mut day.site, &day.jobs, LOOK_TIME) {
            if job.waits.iter().any(counts) {
                kept.push(format!("seed {seed}: {id}: {job:?}"));
            }
        }
        assert_no_violations(&day.site);
    }
    assert!(kept.is_empty(), "{kept:#?}");
}

fn is_for_a_run(wait: &StepWait) -> bool {
    match wait {
        StepWait::RunNotEnded { .. } => true,
        StepWait::Starting { start } => start.phase == RunPhase::Ordered,
        _ => false,
    }
}

// Guards against room or workers that a step cannot use for long although nobody else does, once all trouble is over.
// `REST_SEEDS=FIRST..END` plays other days.
#[test]
fn no_job_is_kept_from_room_on_a_site_at_rest() {
    assert_none_kept(|wait| !is_for_a_run(wait));
}

// Guards against a job that waits for longer than callers accept for a run on a worker that is gone.
#[test]
fn no_job_is_kept_by_runs_on_workers_that_are_gone() {
    assert_none_kept(is_for_a_run);
}
