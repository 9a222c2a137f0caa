//! Random days in virtual time: workers start again under their ids while instances are cut off from them, calls get no answer and
//! are executed late or twice, and holders are killed and suspended. No task runs twice at a time or after it was done, and
//! every job succeeds in the end.
//!
//! Some waits of the scheduler are random, so that a seed does not give exactly the same day each time.

mod support;

use lycheeyard_jobs::{Job, StepKey, TaskKey};
use lycheeyard_protocol::{JobState, WorkerId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{env, ops::Range, time::Duration};
use support::{CallFaults, Fleet, job, step};
use tokio::time::{Instant, sleep};

const INSTANCES: usize = 3;
const WORKERS: usize = 4;
/// The workers have run for so long that the deadlines of orders are far ahead on the clock of a new incarnation.
const UPTIME: Duration = Duration::from_secs(30);
const STEPS: u32 = 120;
const STEP: Duration = Duration::from_millis(300);
/// How much later a call is executed at most.
const MAX_CALL_DELAY: Duration = Duration::from_secs(12);
/// A job is given up once this many workers have crashed under one of its tasks.
const CRASHES_TO_GIVE_UP: u32 = 3;
const MAX_KILLS: usize = 2;
/// How long the jobs may take after the last disturbance.
const LIMIT: Duration = Duration::from_secs(90);
/// Names a range of seeds to run instead of the fixed ones, such as `1000..1200`.
const SEEDS_VARIABLE: &str = "RESTART_SEEDS";
/// The seeds are distributed over this many tests.
const PARTS: u64 = 3;

/// What happens on a day beside restarts, cuts, late report requests and late stops.
#[derive(Clone, Copy, Debug, Default)]
struct Disturbances {
    /// Holders are killed and suspended.
    takeovers: bool,
    /// Start calls get no answer and are executed late too.
    late_starts: bool,
}

// Guards against tasks that run twice or again after they were done, and against jobs that are stuck or given up, when incarnations
// of workers change beside late report requests, late stops and cuts.
#[rstest]
fn no_task_runs_twice_on_days_with_restarts(#[values(0, 1, 2)] part: u64) {
    run_days(part, Disturbances::default());
}

// Guards against the same beside takeovers.
#[rstest]
fn no_task_runs_twice_on_days_with_takeovers(#[values(0, 1, 2)] part: u64) {
    let disturbances = Disturbances {
        takeovers: true,
        late_starts: false,
    };
    run_days(part, disturbances);
}

// Guards against the same beside takeovers and start calls that get no answer and are executed late.
#[rstest]
fn no_task_runs_twice_on_days_with_late_starts(#[values(0, 1, 2)] part: u64) {
    let disturbances = Disturbances {
        takeovers: true,
        late_starts: true,
    };
    run_days(part, disturbances);
}

/// Runs the days of one part of the seeds.
fn run_days(part: u64, disturbances: Disturbances) {
    let mut failed = Vec::new();
    for seed in seeds().filter(|seed| seed % PARTS == part) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime is built");
        if let Err(report) = runtime.block_on(run_day(seed, disturbances)) {
            failed.push(seed);
            println!("seed {seed} failed: {report}");
        }
    }
    assert!(failed.is_empty(), "seeds that failed: {failed:?}");
}

/// The seeds to run.
fn seeds() -> Range<u64> {
    let Ok(text) = env::var(SEEDS_VARIABLE) else {
        return 0..12;
    };
    let (first, end) = text.split_once("..").expect("range of seeds has two ends");
    let parse = |text: &str| text.parse().expect("seed is a number");
    parse(first)..parse(end)
}

/// A day and what is random about it.
struct Day {
    disturbances: Disturbances,
    fleet: Fleet,
    rng: SmallRng,
    jobs: Vec<Job>,
    /// The incarnation of each worker.
    incarnations: [u64; WORKERS],
    /// The instances that were killed or suspended; each is so once.
    is_disturbed: [bool; INSTANCES + MAX_KILLS],
}

/// Runs the day of a seed; returns what went wrong.
async fn run_day(seed: u64, disturbances: Disturbances) -> Result<(), String> {
    let fleet = Fleet::start(INSTANCES, WORKERS).await;
    sleep(UPTIME).await;
    let faults = CallFaults::new(seed, MAX_CALL_DELAY, disturbances.late_starts);
    fleet.workers.set_call_faults(Some(faults));
    let mut day = Day {
        disturbances,
        fleet,
        rng: SmallRng::seed_from_u64(seed),
        jobs: Vec::new(),
        incarnations: [1; WORKERS],
        is_disturbed: [false; INSTANCES + MAX_KILLS],
    };
    for _ in 0..STEPS {
        day.disturb().await;
        sleep(STEP).await;
    }
    day.end_disturbances().await;
    day.result().await
}

impl Day {
    async fn disturb(&mut self) {
        if self.rng.random_bool(0.2) {
            self.submit().await;
        }
        if self.rng.random_bool(0.06) {
            self.restart_worker();
        }
        if self.rng.random_bool(0.1) {
            self.cut_off();
        }
        if self.rng.random_bool(0.1) {
            let share = [0.0, 0.0, 0.1, 0.4][self.rng.random_range(0..4)];
            self.fleet.workers.set_faulty_share(share);
        }
        let takeovers = f64::from(u8::from(self.disturbances.takeovers));
        if self.rng.random_bool(0.02 * takeovers) {
            self.kill_holder();
        }
        if self.rng.random_bool(0.03 * takeovers) {
            self.suspend_holder();
        }
    }

    async fn submit(&mut self) {
        let run_ms = self.rng.random_range(200..9000);
        let tasks = self.rng.random_range(1..6);
        let job = job(&format!("j{}", self.jobs.len()), run_ms, vec![step(tasks)]);
        self.fleet.submit(&job).await;
        self.jobs.push(job);
    }

    /// Starts a worker again under its id. Its entry shows it later, and at times an older one appears once more.
    fn restart_worker(&mut self) {
        let number = self.rng.random_range(0..WORKERS);
        let id = worker_id(number);
        self.fleet.workers.restart(&id);
        self.incarnations[number] += 1;
        let incarnation = self.incarnations[number];
        let store = self.fleet.store.clone();
        let delay = Duration::from_millis(self.rng.random_range(0..4000));
        let shows_older = self.rng.random_bool(0.2);
        tokio::spawn(async move {
            sleep(delay).await;
            let key = format!("workers/{id}");
            list(&store, &key, incarnation);
            if shows_older {
                sleep(Duration::from_millis(300)).await;
                store.put(&key, (incarnation - 1).to_string().as_bytes());
                sleep(Duration::from_millis(700)).await;
                store.put(&key, incarnation.to_string().as_bytes());
            }
        });
    }

    /// Cuts some instances off from a worker for a time.
    fn cut_off(&mut self) {
        let id = worker_id(self.rng.random_range(0..WORKERS));
        let time = Duration::from_millis(self.rng.random_range(500..12_000));
        let cuts_all = self.rng.random_bool(0.5);
        for number in 0..self.fleet.instances.len() {
            if !cuts_all && self.rng.random_bool(0.5) {
                continue;
            }
            self.note(&format!("cut of entry-{number} from {id} for {time:?}"));
            let link = self.fleet.instances[number].store.link.clone();
            let id = id.clone();
            tokio::spawn(async move {
                link.silence_worker(&id);
                sleep(time).await;
                link.reach_worker(&id);
            });
        }
    }

    fn kill_holder(&mut self) {
        let kills = self.fleet.instances.len() - INSTANCES;
        let Some(holder) = self.fleet.holder().filter(|_| kills < MAX_KILLS) else {
            return;
        };
        if std::mem::replace(&mut self.is_disturbed[holder], true) {
            return;
        }
        self.note(&format!("kill of entry-{holder}"));
        self.fleet.kill(holder);
        self.fleet.add_instance();
    }

    fn suspend_holder(&mut self) {
        let Some(holder) = self.fleet.holder() else {
            return;
        };
        if std::mem::replace(&mut self.is_disturbed[holder], true) {
            return;
        }
        let time = Duration::from_millis(self.rng.random_range(1000..8000));
        self.note(&format!("suspension of entry-{holder} for {time:?}"));
        self.fleet.suspend(holder, true);
        let clock = self.fleet.instances[holder].clock.clone();
        let link = self.fleet.instances[holder].store.link.clone();
        tokio::spawn(async move {
            sleep(time).await;
            clock.suspend(false);
            link.freeze(false);
        });
    }

    /// Ends all disturbances; those that are timed end by themselves.
    async fn end_disturbances(&self) {
        self.note("end of disturbances");
        self.fleet.workers.set_faulty_share(0.0);
        sleep(Duration::from_secs(13)).await;
        for (number, incarnation) in self.incarnations.iter().enumerate() {
            let key = format!("workers/{}", worker_id(number));
            self.fleet
                .store
                .put(&key, incarnation.to_string().as_bytes());
        }
    }

    /// Waits for the jobs, and returns what went wrong with the trace of what it concerns.
    async fn result(&self) -> Result<(), String> {
        let until = Instant::now() + LIMIT;
        for job in &self.jobs {
            while !self.has_ended_well(job).await {
                if Instant::now() > until {
                    let state = self.fleet.state(&job.id).await;
                    let what = format!("{} does not succeed, it is {state:?}", job.id);
                    return Err(self.report(&what, &format!(" {}.", job.id)));
                }
                sleep(Duration::from_millis(200)).await;
            }
        }
        match self.fleet.workers.violations().first() {
            None => Ok(()),
            Some(violation) => {
                let task = violation.split(' ').next().unwrap_or_default();
                Err(self.report(violation, &format!(" {task} ")))
            }
        }
    }

    /// Whether a job has succeeded, or was given up because enough workers have crashed under one of its tasks.
    async fn has_ended_well(&self, job: &Job) -> bool {
        match self.fleet.state(&job.id).await {
            JobState::Succeeded => true,
            JobState::Failed => {
                tasks_of(job).any(|task| self.fleet.workers.crashes(&task) >= CRASHES_TO_GIVE_UP)
            }
            _ => false,
        }
    }

    fn report(&self, what: &str, subject: &str) -> String {
        let words = [
            subject,
            "restart",
            "cut",
            "kill",
            "suspension",
            "end of",
            "report",
        ];
        let lines = self.fleet.workers.trace(&words);
        format!("{what}\n{}", lines.join("\n"))
    }

    fn note(&self, text: &str) {
        self.fleet.workers.note(text);
    }
}

fn tasks_of(job: &Job) -> impl Iterator<Item = TaskKey> {
    let step = StepKey {
        job: job.id.clone(),
        occurrence: 0,
        step: 0,
    };
    (0..job.steps[0].tasks).map(move |index| step.task(index as usize))
}

fn worker_id(number: usize) -> WorkerId {
    format!("w-{number}").parse().expect("worker id is valid")
}

/// Writes the entry of an incarnation, unless that of a later one is there.
fn list(store: &support::FakeStore, key: &str, incarnation: u64) {
    let present = store.item(key).map(|item| String::from_utf8(item.value));
    let present = present
        .and_then(Result::ok)
        .and_then(|text| text.parse::<u64>().ok());
    if present.is_none_or(|present| present < incarnation) {
        store.put(key, incarnation.to_string().as_bytes());
    }
}
