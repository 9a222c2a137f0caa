mod actions;
mod job_events;
mod simulation;

pub use simulation::{JobLog, Simulation};

use super::{
    InvariantError, Planner, Trace, TraceJob,
    fragmentation::count_idle,
    invariant::{check_start, check_stop},
};
use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{JobState, OrganisationId, Timestamp, WorkerId};
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// The run time that a restart from a checkpoint adds.
pub(super) const RESTART_OVERHEAD_MS: u64 = 60_000;
/// The time that workers take to confirm a stop, in addition to that of the checkpoint.
const STOP_CONFIRMATION: Duration = Duration::from_millis(300);
/// The longest time between two planning rounds while jobs wait.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_secs(300);
/// The shortest time between two planning rounds.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// The interval of the samples of idle accelerators in a large data centre.
const IDLE_SAMPLE_INTERVAL: Duration = Duration::from_secs(60);
/// Above this number of workers, idle accelerators are sampled instead of counted after each round.
const IDLE_SAMPLING_WORKERS: usize = 200;
/// A simulation fails when its virtual time exceeds this limit of 120 days.
const TIME_LIMIT: Timestamp = Timestamp(120 * 24 * 60 * 60 * 1_000);

#[derive(Clone, Debug)]
enum Event {
    JobSubmitted(usize),
    JobEnded(usize, u32),
    JobStopped(usize, u32, Duration),
    WorkerLost(WorkerId),
    WorkerRestored(WorkerId),
}

/// Simulates a trace with a planner in virtual time.
///
/// Each of `losses` makes a worker unavailable from the first time to the second; gangs on it are stopped without a
/// checkpoint.
///
/// # Errors
/// Fails when the planner violates an invariant, when jobs remain that never start, or when the simulation exceeds 120
/// days.
pub fn simulate(
    planner: Planner,
    trace: &Trace,
    losses: &[(WorkerId, Timestamp, Timestamp)],
) -> Result<Simulation, InvariantError> {
    let mut simulator = Simulator::new(trace, losses);
    while let Some((&(at, _), _)) = simulator.events.first_key_value() {
        simulator.now = simulator.now.max(at);
        if simulator.now > TIME_LIMIT {
            return Err(InvariantError::TimeLimitExceeded(simulator.now));
        }
        simulator.process_due_events();
        let started = Instant::now();
        let actions = planner.plan(&simulator.snapshot, simulator.now);
        simulator.outcome.rounds.push(started.elapsed());
        for action in actions {
            simulator.execute(action)?;
        }
        simulator.advance_time();
    }
    match simulator.snapshot.jobs.keys().next() {
        Some(key) => Err(InvariantError::NeverStarts(key.clone())),
        None => Ok(simulator.outcome),
    }
}

struct Simulator<'a> {
    trace: &'a Trace,
    snapshot: Snapshot,
    numbers: BTreeMap<JobKey, usize>,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    now: Timestamp,
    pending_reclaims: BTreeMap<OrganisationId, Timestamp>,
    idle_sample_interval: Duration,
    outcome: Simulation,
}

impl<'a> Simulator<'a> {
    fn new(trace: &'a Trace, losses: &[(WorkerId, Timestamp, Timestamp)]) -> Self {
        let snapshot = Snapshot::new(trace.data_centre.clone(), trace.organisations.clone());
        let mut simulator = Self {
            trace,
            snapshot,
            numbers: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: Timestamp(0),
            pending_reclaims: BTreeMap::new(),
            idle_sample_interval: idle_sample_interval(trace),
            outcome: Simulation {
                logs: vec![JobLog::default(); trace.jobs.len()],
                ..Simulation::default()
            },
        };
        for (number, job) in trace.jobs.iter().enumerate() {
            simulator.numbers.insert(job_key(job), number);
            simulator.schedule(job.submitted_at, Event::JobSubmitted(number));
        }
        for (worker, from, until) in losses {
            simulator.schedule(*from, Event::WorkerLost(worker.clone()));
            simulator.schedule(*until, Event::WorkerRestored(worker.clone()));
        }
        simulator
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn process_due_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::JobSubmitted(number) => self.submit(number),
                Event::JobEnded(number, attempt) => self.end_job(number, attempt),
                Event::JobStopped(number, attempt, grace) => {
                    self.finish_stop(number, attempt, grace);
                }
                Event::WorkerLost(worker) => self.mark_worker_lost(&worker),
                Event::WorkerRestored(worker) => {
                    self.snapshot.unavailable.remove(&worker);
                }
            }
        }
    }

    /// Advances the time to the next event, or to the next idle round if that is earlier and jobs wait.
    fn advance_time(&mut self) {
        let next = self.events.first_key_value().map(|((at, _), _)| *at);
        let waiting = self
            .snapshot
            .jobs
            .values()
            .any(|job| job.state == JobState::Queued);
        let idle_round = self.now.after(IDLE_ROUND_INTERVAL);
        let next = match next {
            Some(next) if waiting => next.min(idle_round),
            Some(next) => next,
            None => return,
        };
        let next = next.max(self.now.after(MIN_ROUND_INTERVAL));
        if waiting {
            self.sample_idle(next);
        }
        self.now = next;
    }

    /// Records the idle accelerators up to `next`. In a large data centre, a sample covers all rounds of the next minute.
    fn sample_idle(&mut self, next: Timestamp) {
        let duration = next.since(self.now);
        match self.outcome.idle.last_mut() {
            Some((at, total, _)) if self.now.since(*at) < self.idle_sample_interval => {
                *total += duration;
            }
            _ => {
                let idle = count_idle(&self.snapshot);
                self.outcome.idle.push((self.now, duration, idle));
            }
        }
    }
}

fn idle_sample_interval(trace: &Trace) -> Duration {
    if trace.data_centre.workers().count() > IDLE_SAMPLING_WORKERS {
        IDLE_SAMPLE_INTERVAL
    } else {
        Duration::ZERO
    }
}

fn job_key(job: &TraceJob) -> JobKey {
    JobKey {
        organisation: job.spec.organisation.clone(),
        job: job.spec.job.clone(),
    }
}
