//! Random days without faults in the shape of a large site, made smaller: ten organisations, three queues, urgent gangs of which most are to
//! stay on one rack, and more work than there is room. Guarantees change, jobs are cancelled or fail, workers are added.
//!
//! Guards against an urgent job inside its organisation's guarantee that waits although others use the accelerators that are its own.

mod support;

use lycheeyard_jobs::{Job, Resources, SchedulingPolicy, Step, WorkerLimits};
use lycheeyard_protocol::{JobId, OrganisationId, Timestamp};
use lycheeyard_standin::{SimulatedSite, SimulatedWorker};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use support::{
    BULK, ORDINARY, URGENT, assert_no_violations, id, job, limits, organisation, policy, rack,
    random::seeds, worker,
};

const RACKS: usize = 12;
const WORKERS_PER_RACK: usize = 4;
/// The accelerators that are guaranteed to each organisation: 62% of the site.
const GUARANTEES: [u32; 10] = [90, 60, 24, 14, 12, 10, 8, 8, 6, 6];
const STOP_TIMEOUT: Duration = Duration::from_millis(200);
/// The 2.7 s within which an urgent job inside its guarantee has to begin, less what instances and calls take.
const RECLAIM_LIMIT: Duration = Duration::from_secs(2);
const DAY: Duration = Duration::from_secs(30);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// An urgent job that has not ended.
struct UrgentJob {
    job: Job,
    submitted_at: Timestamp,
    begun: BTreeSet<usize>,
    /// Whether it has begun, or the urgent jobs of its organisation have needed more than the guarantee since.
    is_settled: bool,
}

struct Day {
    rng: SmallRng,
    site: SimulatedSite,
    policy: SchedulingPolicy,
    urgent: BTreeMap<JobId, UrgentJob>,
    late: Vec<String>,
    next_job: usize,
}

fn accelerators(job: &Job) -> u32 {
    job.steps[0].tasks * job.steps[0].demand.accelerators
}

fn owner(number: usize) -> OrganisationId {
    organisation(&format!("org-{number}"))
}

fn large_worker(number: usize) -> SimulatedWorker {
    let mut new = worker(number, number / WORKERS_PER_RACK % RACKS);
    new.info.capacity.cpu_milli = 64_000;
    new
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut policy = policy();
        let guarantees = (0..).zip(GUARANTEES);
        let guarantees = guarantees.map(|(number, count)| (owner(number), count));
        policy.guarantees.extend(guarantees);
        let limits = WorkerLimits {
            stop_timeout: STOP_TIMEOUT,
            ..limits()
        };
        let workers = (0..RACKS * WORKERS_PER_RACK).map(large_worker).collect();
        let mut site = SimulatedSite::new(workers, policy.clone(), limits);
        site.advance(Duration::from_millis(100));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            site,
            policy,
            urgent: BTreeMap::new(),
            late: Vec::new(),
            next_job: 0,
        }
    }

    fn run(&mut self) {
        let end = self.site.now.boot.after(DAY);
        while !end.is_past(self.site.now.boot) {
            self.act();
            self.look();
        }
    }

    fn act(&mut self) {
        let per_look = LOOK_INTERVAL.as_secs_f64();
        let mut happens = |per_s: f64| self.rng.random_bool(per_s * per_look);
        let (urgent, ordinary, bulk) = (happens(3.0), happens(2.5), happens(2.0));
        let (change, cancel, new_worker) = (happens(0.15), happens(0.2), happens(0.05));
        if urgent {
            self.submit_urgent();
        }
        if ordinary {
            self.submit_ordinary();
        }
        if bulk {
            self.submit_bulk();
        }
        if change {
            self.move_guarantee();
        }
        if cancel && self.next_job > 0 {
            let number = self.rng.random_range(0..self.next_job);
            self.site.cancel(&id(&format!("job-{number}")));
        }
        if new_worker {
            let number = self.site.workers.len();
            self.site.add_worker(large_worker(number));
        }
    }

    /// Few steps are wide.
    fn random_width(&mut self, most: u32) -> u32 {
        let mut width = 1;
        while width < most && self.rng.random_bool(0.8) {
            width += 1;
        }
        width
    }

    fn random_gang(&mut self, most: u32, cpu_milli: u64, memory_mb: u64, ms: u64) -> Step {
        Step {
            tasks: self.random_width(most),
            demand: Resources {
                cpu_milli,
                memory_mb,
                accelerators: [1, 2, 4, 8, 8][self.rng.random_range(0..5)],
            },
            expected_ms: self.rng.random_range(ms / 3..ms * 2),
            gang: true,
            ..Step::default()
        }
    }

    fn submit(&mut self, queue: &str, step: Step) -> Job {
        let name = format!("job-{}", self.next_job);
        self.next_job += 1;
        // Organisations with larger guarantees submit more.
        let mut share = self.rng.random_range(0..GUARANTEES.iter().sum());
        let number = GUARANTEES.iter().position(|&count| {
            let is_chosen = share < count;
            share = share.saturating_sub(count);
            is_chosen
        });
        let number = number.expect("the share is below the sum");
        let new = Job {
            organisation: owner(number),
            ..job(&self.site, &name, queue, vec![step])
        };
        let factor = self.rng.random_range(0.5..1.5);
        let run_time = Duration::from_millis(new.steps[0].expected_ms).mul_f64(factor);
        self.site.run_times.insert((new.id.clone(), 0), run_time);
        if self.rng.random_bool(0.01) {
            self.site.failing_jobs.insert(new.id.clone());
        }
        self.site.submit(new.clone());
        new
    }

    fn submit_urgent(&mut self) {
        let gang = self.rng.random_bool(0.9);
        let data_rack = rack(self.rng.random_range(0..RACKS));
        let step = Step {
            gang,
            same_rack: gang && self.rng.random_bool(0.8),
            data_rack: (!gang).then_some(data_rack),
            ..self.random_gang(16, 7500, 20_000, 2100)
        };
        let new = self.submit(URGENT, step);
        let urgent = UrgentJob {
            submitted_at: self.site.now.wall,
            begun: BTreeSet::new(),
            is_settled: false,
            job: new.clone(),
        };
        self.urgent.insert(new.id, urgent);
    }

    fn submit_ordinary(&mut self) {
        let step = Step {
            same_rack: self.rng.random_bool(0.6),
            checkpointing: self.rng.random_bool(0.45),
            ..self.random_gang(12, 26_000, 38_000, 7200)
        };
        self.submit(ORDINARY, step);
    }

    fn submit_bulk(&mut self) {
        let mut step = Step {
            tasks: self.rng.random_range(4..40),
            gang: false,
            checkpointing: self.rng.random_bool(0.45),
            ..self.random_gang(1, 5600, 11_000, 6500)
        };
        step.demand.accelerators = 1;
        self.submit(BULK, step);
    }

    /// Moves a part of one organisation's guarantee to another.
    fn move_guarantee(&mut self) {
        let owners: Vec<OrganisationId> = self.policy.guarantees.keys().cloned().collect();
        let from = &owners[self.rng.random_range(0..owners.len())];
        let to = &owners[self.rng.random_range(0..owners.len())];
        let part = self.rng.random_range(0..=self.policy.guarantees[from]);
        *self.policy.guarantees.get_mut(from).expect("known") -= part;
        *self.policy.guarantees.get_mut(to).expect("known") += part;
        self.site.scheduler.set_policy(self.policy.clone());
    }

    fn look(&mut self) {
        self.site.advance(LOOK_INTERVAL);
        let site = &self.site;
        self.urgent.retain(|id, _| !site.state(id).is_final());
        let mut needs: BTreeMap<OrganisationId, u32> = BTreeMap::new();
        for urgent in self.urgent.values() {
            *needs.entry(urgent.job.organisation.clone()).or_default() += accelerators(&urgent.job);
        }
        for task in site.workers.values().flat_map(SimulatedWorker::tasks) {
            if let Some(urgent) = self.urgent.get_mut(&task.step.job) {
                urgent.begun.insert(task.index);
            }
        }
        for (id, urgent) in &mut self.urgent {
            let owner = &urgent.job.organisation;
            let step = &urgent.job.steps[0];
            urgent.is_settled |= needs[owner] > self.policy.guarantees[owner]
                || urgent.begun.len() == step.tasks as usize;
            let limit = urgent.submitted_at.after(RECLAIM_LIMIT);
            if !urgent.is_settled && limit.is_past(site.now.wall) {
                urgent.is_settled = true;
                let waits: Vec<_> = site.scheduler.step_waits(id, site.now).collect();
                self.late.push(format!("{id}, {step}: {waits:?}"));
            }
        }
    }
}

// `GUARANTEE_SEEDS=FIRST..END` plays other days.
#[test]
fn urgent_jobs_inside_their_guarantee_begin_in_time() {
    let mut late = Vec::new();
    for seed in seeds("GUARANTEE_SEEDS") {
        let mut day = Day::new(seed);
        day.run();
        assert_no_violations(&day.site);
        let of_day = day.late.into_iter();
        late.extend(of_day.map(|late| format!("seed {seed}: {late}")));
    }
    assert!(late.is_empty(), "{late:#?}");
}
