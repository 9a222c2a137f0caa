//! Random jobs in the shape of a large site: urgent and ordinary gangs of which most are to stay on one rack, and wide jobs of small tasks.

use super::{BULK, ORDINARY, URGENT, job, organisation, rack};
use lycheeyard_jobs::{Job, Resources, Step, StepKey, StepSet};
use lycheeyard_standin::SimulatedSite;
use rand::{Rng, rngs::SmallRng};
use std::{ops::RangeInclusive, time::Duration};

pub const RACKS: usize = 5;
pub const PER_RACK: usize = 6;
/// The organisations that hand jobs in.
pub const ORGANISATIONS: [&str; 3] = ["north", "south", "west"];

/// The accelerators that a task of a gang may need.
const GANG_ACCELERATORS: [u32; 5] = [1, 2, 4, 8, 8];
/// The share of steps that run for `LONG_FACTOR` times as long as others.
const LONG_SHARE: f64 = 0.1;
const LONG_FACTOR: u64 = 7;
/// By which factors tasks of one step differ at most.
const TASK_SPREAD: f64 = 1.3;
/// By which factors estimates are wrong at most.
const ESTIMATE_ERROR: f64 = 2.0;

/// The longest run time of a task.
const MAX_RUN_TIME: Duration = Duration::from_secs(60);

/// What the jobs of a queue look like. The last fields are shares of the jobs or steps.
struct Shape {
    queue: &'static str,
    /// How many of these jobs there are, relative to others.
    weight: u32,
    is_gang: bool,
    tasks: RangeInclusive<u32>,
    cpu_milli: u64,
    memory_mb: u64,
    run_ms: u64,
    steps: RangeInclusive<usize>,
    same_rack: f64,
    data_rack: f64,
    spread: f64,
    checkpointing: f64,
    best_effort: f64,
    failing: f64,
    cancelled: f64,
}

const SHAPES: [Shape; 3] = [
    Shape {
        queue: URGENT,
        weight: 8,
        is_gang: true,
        tasks: 1..=10,
        cpu_milli: 3750,
        memory_mb: 20_000,
        run_ms: 2100,
        steps: 1..=1,
        same_rack: 0.8,
        data_rack: 0.0,
        spread: 0.0,
        checkpointing: 0.0,
        best_effort: 0.0,
        failing: 0.0,
        cancelled: 0.0,
    },
    Shape {
        queue: ORDINARY,
        weight: 3,
        is_gang: true,
        tasks: 2..=14,
        cpu_milli: 13_000,
        memory_mb: 38_000,
        run_ms: 7200,
        steps: 1..=2,
        same_rack: 0.6,
        data_rack: 0.3,
        spread: 0.0,
        checkpointing: 0.45,
        best_effort: 0.0,
        failing: 0.03,
        cancelled: 0.05,
    },
    Shape {
        queue: BULK,
        weight: 2,
        is_gang: false,
        tasks: 5..=40,
        cpu_milli: 2800,
        memory_mb: 11_000,
        run_ms: 6500,
        steps: 1..=3,
        same_rack: 0.0,
        data_rack: 0.12,
        spread: 0.12,
        checkpointing: 0.45,
        best_effort: 0.1,
        failing: 0.02,
        cancelled: 0.15,
    },
];

/// A random job that was submitted.
pub struct RandomJob {
    pub job: Job,
    /// Whether it is to be cancelled.
    pub is_cancelled: bool,
}

fn random_shape(rng: &mut SmallRng) -> &'static Shape {
    let total = SHAPES.iter().map(|shape| shape.weight).sum();
    let mut at = rng.random_range(0..total);
    let chosen = SHAPES.iter().find(|shape| {
        let is_chosen = at < shape.weight;
        at = at.saturating_sub(shape.weight);
        is_chosen
    });
    chosen.expect("number is below the sum of weights")
}

fn random_step(shape: &Shape, rng: &mut SmallRng) -> Step {
    let accelerators = if shape.is_gang {
        GANG_ACCELERATORS[rng.random_range(0..GANG_ACCELERATORS.len())]
    } else {
        1
    };
    let run_ms = rng.random_range(shape.run_ms / 2..shape.run_ms * 3 / 2);
    let factor = if rng.random_bool(LONG_SHARE) {
        LONG_FACTOR
    } else {
        1
    };
    Step {
        tasks: rng.random_range(shape.tasks.clone()),
        demand: Resources {
            cpu_milli: shape.cpu_milli,
            memory_mb: shape.memory_mb,
            accelerators,
        },
        expected_ms: run_ms * factor,
        checkpointing: rng.random_bool(shape.checkpointing),
        gang: shape.is_gang,
        best_effort: rng.random_bool(shape.best_effort),
        same_rack: rng.random_bool(shape.same_rack),
        data_rack: rng
            .random_bool(shape.data_rack)
            .then(|| rack(rng.random_range(0..RACKS))),
        spread_limit: rng
            .random_bool(shape.spread)
            .then(|| rng.random_range(1..=3)),
        ..Step::default()
    }
}

/// A factor by which something differs, up to `limit` in each direction.
fn random_factor(rng: &mut SmallRng, limit: f64) -> f64 {
    limit.powf(rng.random_range(-1.0..1.0))
}

/// Submits a random job. Run times differ from the estimates, and those of tasks from each other.
pub fn submit_random(site: &mut SimulatedSite, rng: &mut SmallRng, number: usize) -> RandomJob {
    let shape = random_shape(rng);
    let count = rng.random_range(shape.steps.clone());
    let steps = (0..count).map(|index| Step {
        after: StepSet::new((0..index).filter(|_| rng.random_bool(0.7))).expect("steps exist"),
        ..random_step(shape, rng)
    });
    let steps: Vec<Step> = steps.collect();
    let mut new = job(site, &format!("job-{number}"), shape.queue, steps);
    new.organisation = organisation(ORGANISATIONS[rng.random_range(0..ORGANISATIONS.len())]);
    for (index, step) in new.steps.iter().enumerate() {
        let estimate = Duration::from_millis(step.expected_ms);
        let actual = estimate.mul_f64(random_factor(rng, ESTIMATE_ERROR));
        site.run_times
            .insert((new.id.clone(), index), actual.min(MAX_RUN_TIME));
        for task in 0..step.tasks as usize {
            let key = StepKey {
                job: new.id.clone(),
                occurrence: 0,
                step: index,
            };
            let factor = random_factor(rng, TASK_SPREAD);
            site.task_factors.insert(key.task(task), factor);
        }
    }
    if rng.random_bool(shape.failing) {
        site.failing_jobs.insert(new.id.clone());
    }
    site.submit(new.clone());
    RandomJob {
        job: new,
        is_cancelled: rng.random_bool(shape.cancelled),
    }
}
