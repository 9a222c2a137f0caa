mod actions;

use super::{
    InvariantError, Planner, Trace, TraceJob,
    fragmentation::{IdleNow, idle_now},
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

/// The run time that is lost when a job starts again from a checkpoint.
pub(super) const RESTART_MS: u64 = 60_000;
/// The time until workers confirm a stop without a checkpoint.
const STOP: Duration = Duration::from_millis(300);
/// The time between rounds when nothing happens.
const IDLE_ROUND: Duration = Duration::from_secs(300);
/// The shortest time between two rounds.
const ROUND: Duration = Duration::from_millis(200);
/// The time that one sample of the idle accelerators stands for in a large data centre.
const IDLE_SAMPLE: Duration = Duration::from_secs(60);
/// The number of workers above which the idle accelerators are sampled.
const LARGE_DATA_CENTRE: usize = 200;
/// No trace takes longer than this.
const END: Timestamp = Timestamp(120 * 24 * 60 * 60 * 1_000);

/// What happened to one job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLog {
    /// When it started first.
    pub first_start: Option<Timestamp>,
    /// When it ended.
    pub ended_at: Option<Timestamp>,
    /// The accelerator time, in milliseconds, that it used without keeping the result.
    pub wasted_ms: u64,
    /// How often it was stopped.
    pub stops: u32,
    /// Whether it was retired as impossible.
    pub retired: bool,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    /// One log a job, in the order of the trace.
    pub logs: Vec<JobLog>,
    /// The times from a reclaim to the start of the claimant.
    pub reclaims: Vec<Duration>,
    /// What was idle after each round, with the time until the next.
    pub idle: Vec<(Timestamp, Duration, IdleNow)>,
    /// The processor times of the planning rounds.
    pub rounds: Vec<Duration>,
    /// All actions with their times.
    pub actions: Vec<(Timestamp, Action)>,
}

#[derive(Clone, Debug)]
enum Event {
    Submit(usize),
    End(usize, u32),
    Stopped(usize, u32, Duration),
    Lose(WorkerId),
    Regain(WorkerId),
}

/// Plays a trace through a planner in virtual time.
///
/// `losses` are workers that are unusable from one time to another; gangs on them are stopped without a checkpoint.
///
/// # Errors
/// Fails when the planner breaks an invariant.
pub fn simulate(
    planner: Planner,
    trace: &Trace,
    losses: &[(WorkerId, Timestamp, Timestamp)],
) -> Result<Simulation, InvariantError> {
    let mut run = Run::new(trace, losses);
    while let Some((&(at, _), _)) = run.events.first_key_value() {
        run.now = run.now.max(at);
        if run.now > END {
            return Err(InvariantError::Endless(run.now));
        }
        run.handle_due();
        let started = Instant::now();
        let actions = planner.plan(&run.snapshot, run.now);
        run.outcome.rounds.push(started.elapsed());
        for action in actions {
            run.execute(action)?;
        }
        run.advance();
    }
    match run.snapshot.jobs.keys().next() {
        Some(key) => Err(InvariantError::Stuck(key.clone())),
        None => Ok(run.outcome),
    }
}

struct Run<'a> {
    trace: &'a Trace,
    snapshot: Snapshot,
    numbers: BTreeMap<JobKey, usize>,
    events: BTreeMap<(Timestamp, u64), Event>,
    sequence: u64,
    now: Timestamp,
    claims: BTreeMap<OrganisationId, Timestamp>,
    idle_sample: Duration,
    outcome: Simulation,
}

impl<'a> Run<'a> {
    fn new(trace: &'a Trace, losses: &[(WorkerId, Timestamp, Timestamp)]) -> Self {
        let snapshot = Snapshot::new(trace.data_centre.clone(), trace.organisations.clone());
        let mut run = Self {
            trace,
            snapshot,
            numbers: BTreeMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now: Timestamp(0),
            claims: BTreeMap::new(),
            idle_sample: idle_sample(trace),
            outcome: Simulation {
                logs: vec![JobLog::default(); trace.jobs.len()],
                ..Simulation::default()
            },
        };
        for (number, job) in trace.jobs.iter().enumerate() {
            run.numbers.insert(key(job), number);
            run.schedule(job.submitted_at, Event::Submit(number));
        }
        for (worker, from, until) in losses {
            run.schedule(*from, Event::Lose(worker.clone()));
            run.schedule(*until, Event::Regain(worker.clone()));
        }
        run
    }

    fn schedule(&mut self, at: Timestamp, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle_due(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Submit(number) => self.submit(number),
                Event::End(number, attempt) => self.end(number, attempt),
                Event::Stopped(number, attempt, grace) => self.stopped(number, attempt, grace),
                Event::Lose(worker) => self.lose(&worker),
                Event::Regain(worker) => {
                    self.snapshot.unavailable.remove(&worker);
                }
            }
        }
    }

    /// Moves the time on to the next event, or by an idle round while jobs wait.
    fn advance(&mut self) {
        let next = self.events.first_key_value().map(|((at, _), _)| *at);
        let waiting = self
            .snapshot
            .jobs
            .values()
            .any(|job| job.state == JobState::Queued);
        let idle_round = self.now.after(IDLE_ROUND);
        let next = match next {
            Some(next) if waiting => next.min(idle_round),
            Some(next) => next,
            None => return,
        };
        let next = next.max(self.now.after(ROUND));
        if waiting {
            self.sample_idle(next);
        }
        self.now = next;
    }

    /// Notes the idle accelerators up to `next`; a sample stands for the rounds of the next minute.
    fn sample_idle(&mut self, next: Timestamp) {
        let lasts = next.since(self.now);
        match self.outcome.idle.last_mut() {
            Some((at, total, _)) if self.now.since(*at) < self.idle_sample => *total += lasts,
            _ => {
                let idle = idle_now(&self.snapshot);
                self.outcome.idle.push((self.now, lasts, idle));
            }
        }
    }

    fn submit(&mut self, number: usize) {
        let job = &self.trace.jobs[number];
        let record = JobRecord::submitted(job.spec.clone(), job.submitted_at);
        self.snapshot.jobs.insert(key(job), record);
    }

    /// The record of a job if it still is in the given attempt.
    fn current(&mut self, number: usize, attempt: u32) -> Option<JobRecord> {
        let record = self.snapshot.jobs.get(&key(&self.trace.jobs[number]))?;
        let holds = record.state.holds_accelerators() && record.attempts == attempt;
        holds.then(|| record.clone())
    }

    fn end(&mut self, number: usize, attempt: u32) {
        let Some(record) = self.current(number, attempt) else {
            return;
        };
        self.account(&record);
        let job = &self.trace.jobs[number];
        let organisation = job.spec.organisation.clone();
        let declared = Duration::from_millis(job.spec.run_time_ms);
        let actual = Duration::from_millis(job.actual_ms);
        let correction = self.snapshot.correction(&organisation);
        let correction = correction.observe(declared, actual);
        self.snapshot.corrections.insert(organisation, correction);
        self.outcome.logs[number].ended_at = Some(self.now);
        self.snapshot.jobs.remove(&key(job));
    }

    fn stopped(&mut self, number: usize, attempt: u32, grace: Duration) {
        let Some(mut record) = self.current(number, attempt) else {
            return;
        };
        self.account(&record);
        let job = &self.trace.jobs[number];
        let elapsed = self.elapsed_ms(&record);
        let write = Duration::from_millis(job.checkpoint_write_ms);
        let saved = job.spec.preemption == Preemption::Checkpoint && write <= grace;
        let overhead = if record.checkpoint_ms > 0 {
            RESTART_MS
        } else {
            0
        };
        let gained = if saved {
            elapsed.saturating_sub(overhead)
        } else {
            0
        };
        record.checkpoint_ms += gained;
        let log = &mut self.outcome.logs[number];
        log.wasted_ms += (elapsed - gained) * u64::from(job.spec.shape.total());
        log.stops += 1;
        record.state = JobState::Queued;
        record.placement = None;
        record.started_at = None;
        self.snapshot.jobs.insert(key(job), record);
    }

    fn lose(&mut self, worker: &WorkerId) {
        self.snapshot.unavailable.insert(worker.clone());
        let hit: Vec<(usize, u32)> = self
            .snapshot
            .jobs
            .iter()
            .filter(|(_, record)| touches(record.placement.as_ref(), worker))
            .map(|(key, record)| (self.numbers[key], record.attempts))
            .collect();
        for (number, attempt) in hit {
            self.stopped(number, attempt, Duration::ZERO);
        }
    }

    /// Adds what a job has used to its organisation's usage.
    fn account(&mut self, record: &JobRecord) {
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

fn idle_sample(trace: &Trace) -> Duration {
    if trace.data_centre.workers().count() > LARGE_DATA_CENTRE {
        IDLE_SAMPLE
    } else {
        Duration::ZERO
    }
}

fn touches(placement: Option<&Placement>, worker: &WorkerId) -> bool {
    placement.is_some_and(|placement| {
        let mut allocations = placement.allocations.iter();
        allocations.any(|allocation| allocation.worker == *worker)
    })
}

fn key(job: &TraceJob) -> JobKey {
    JobKey {
        organisation: job.spec.organisation.clone(),
        job: job.spec.job.clone(),
    }
}
