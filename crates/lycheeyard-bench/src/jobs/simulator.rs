mod actions;

use super::{
    InvariantError, Planner, Trace, TraceJob,
    fragmentation::{IdleAccelerators, count_idle},
    invariant::{check_start, check_stop},
};
use lycheeyard_policy::{Action, JobKey, Snapshot};
use lycheeyard_protocol::{
    JobRecord, JobState, OrganisationId, Placement, Preemption, Timestamp, WorkerId,
};
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

/// The history of one job in a simulation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLog {
    /// The time of the first start.
    pub first_start: Option<Timestamp>,
    /// The time of the end.
    pub ended_at: Option<Timestamp>,
    /// Accelerator time whose result was lost, in milliseconds.
    pub wasted_ms: u64,
    /// The number of stops.
    pub stops: u32,
    /// Whether the planner retired the job because it can never be placed.
    pub retired: bool,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    /// The history of each job, in the order of the trace.
    pub logs: Vec<JobLog>,
    /// The times from a reclaim to the start of a guaranteed job of the claimant.
    pub reclaims: Vec<Duration>,
    /// Samples of the idle accelerators: the time of the sample and how long it applies.
    pub idle: Vec<(Timestamp, Duration, IdleAccelerators)>,
    /// The real time that each planning round took.
    pub rounds: Vec<Duration>,
    /// All actions of the planner with their times.
    pub actions: Vec<(Timestamp, Action)>,
}

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

    fn submit(&mut self, number: usize) {
        let job = &self.trace.jobs[number];
        let record = JobRecord::submitted(job.spec.clone(), job.submitted_at);
        self.snapshot.jobs.insert(job_key(job), record);
    }

    /// The record of a job, if the given attempt still holds accelerators.
    fn current_attempt(&mut self, number: usize, attempt: u32) -> Option<JobRecord> {
        let record = self.snapshot.jobs.get(&job_key(&self.trace.jobs[number]))?;
        let holds_accelerators = record.state.holds_accelerators() && record.attempts == attempt;
        holds_accelerators.then(|| record.clone())
    }

    fn end_job(&mut self, number: usize, attempt: u32) {
        let Some(record) = self.current_attempt(number, attempt) else {
            return;
        };
        self.charge_usage(&record);
        let job = &self.trace.jobs[number];
        let organisation = job.spec.organisation.clone();
        let declared = Duration::from_millis(job.spec.run_time_ms);
        let actual = Duration::from_millis(job.actual_ms);
        let correction = self.snapshot.correction(&organisation);
        let correction = correction.observe(declared, actual);
        self.snapshot.corrections.insert(organisation, correction);
        self.outcome.logs[number].ended_at = Some(self.now);
        self.snapshot.jobs.remove(&job_key(job));
    }

    fn finish_stop(&mut self, number: usize, attempt: u32, grace: Duration) {
        let Some(mut record) = self.current_attempt(number, attempt) else {
            return;
        };
        self.charge_usage(&record);
        let job = &self.trace.jobs[number];
        let elapsed_ms = self.elapsed_ms(&record);
        let write_time = Duration::from_millis(job.checkpoint_write_ms);
        let is_saved = job.spec.preemption == Preemption::Checkpoint && write_time <= grace;
        let overhead_ms = if record.checkpoint_ms > 0 {
            RESTART_OVERHEAD_MS
        } else {
            0
        };
        let kept_ms = if is_saved {
            elapsed_ms.saturating_sub(overhead_ms)
        } else {
            0
        };
        record.checkpoint_ms += kept_ms;
        let log = &mut self.outcome.logs[number];
        log.wasted_ms += (elapsed_ms - kept_ms) * u64::from(job.spec.shape.total());
        log.stops += 1;
        record.state = JobState::Queued;
        record.placement = None;
        record.started_at = None;
        self.snapshot.jobs.insert(job_key(job), record);
    }

    fn mark_worker_lost(&mut self, worker: &WorkerId) {
        self.snapshot.unavailable.insert(worker.clone());
        let affected: Vec<(usize, u32)> = self
            .snapshot
            .jobs
            .iter()
            .filter(|(_, record)| uses_worker(record.placement.as_ref(), worker))
            .map(|(key, record)| (self.numbers[key], record.attempts))
            .collect();
        for (number, attempt) in affected {
            self.finish_stop(number, attempt, Duration::ZERO);
        }
    }

    /// Adds the accelerator time of an attempt to the usage of its organisation.
    fn charge_usage(&mut self, record: &JobRecord) {
        let organisation = record.spec.organisation.clone();
        let used = Duration::from_millis(self.elapsed_ms(record));
        let usage = self.snapshot.usage.get(&organisation).copied();
        let usage = usage.unwrap_or_default();
        let usage = usage.add(record.spec.shape.total(), used, self.now);
        self.snapshot.usage.insert(organisation, usage);
    }

    fn elapsed_ms(&self, record: &JobRecord) -> u64 {
        self.now.0 - record.started_at.map_or(self.now.0, |at| at.0)
    }
}

fn idle_sample_interval(trace: &Trace) -> Duration {
    if trace.data_centre.workers().count() > IDLE_SAMPLING_WORKERS {
        IDLE_SAMPLE_INTERVAL
    } else {
        Duration::ZERO
    }
}

fn uses_worker(placement: Option<&Placement>, worker: &WorkerId) -> bool {
    placement.is_some_and(|placement| {
        let mut allocations = placement.allocations.iter();
        allocations.any(|allocation| allocation.worker == *worker)
    })
}

fn job_key(job: &TraceJob) -> JobKey {
    JobKey {
        organisation: job.spec.organisation.clone(),
        job: job.spec.job.clone(),
    }
}
