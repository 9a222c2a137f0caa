use super::{Deployment, Scale, TraceJob, generate_trace_with_jobs};
use lycheeyard_policy::{Action, JobKey, Snapshot, plan};
use lycheeyard_protocol::{JobRecord, JobState, ParseError, Timestamp};
use std::time::{Duration, Instant};

/// The number of waiting jobs in the measured rounds.
const WAITING_JOBS: usize = 1_000;
const REPETITIONS: usize = 50;

/// The duration of planning rounds at the two-year scale.
#[derive(Clone, Copy, Debug)]
pub struct RoundTime {
    /// The number of jobs that hold accelerators.
    pub running: usize,
    /// The number of waiting jobs.
    pub waiting: usize,
    /// The number of accelerators that no job holds.
    pub free: usize,
    /// The median time of a round.
    pub median: Duration,
    /// The longest time of a round.
    pub longest: Duration,
}

/// Fills a data centre of the two-year scale and measures planning rounds with 1,000 jobs waiting.
///
/// # Errors
/// Fails when a name is malformed.
pub fn measure_round_time(deployment: Deployment, seed: u64) -> Result<RoundTime, ParseError> {
    let trace = generate_trace_with_jobs(deployment, Scale::TwoYears, seed, 2 * WAITING_JOBS)?;
    let mut snapshot = Snapshot::new(trace.data_centre, trace.organisations);
    let now = Timestamp(24 * 60 * 60 * 1_000);
    let mut jobs = trace.jobs.iter();
    for job in jobs.by_ref().take(WAITING_JOBS) {
        submit(&mut snapshot, job);
    }
    start_all(&mut snapshot, now);
    end_every_fifth_job(&mut snapshot);
    let waiting = |snapshot: &Snapshot| {
        let jobs = snapshot.jobs.values();
        jobs.filter(|job| job.state == JobState::Queued).count()
    };
    let missing = WAITING_JOBS.saturating_sub(waiting(&snapshot));
    jobs.take(missing)
        .for_each(|job| submit(&mut snapshot, job));
    let now = now.after(Duration::from_secs(1_200));
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let started = Instant::now();
            std::hint::black_box(plan(&snapshot, now));
            started.elapsed()
        })
        .collect();
    times.sort();
    let workers = snapshot.data_centre.workers();
    let total: usize = workers.map(|worker| usize::from(worker.accelerators)).sum();
    let placements = snapshot
        .jobs
        .values()
        .filter_map(|job| job.placement.as_ref());
    let held = placements
        .flat_map(lycheeyard_protocol::Placement::accelerators)
        .count();
    Ok(RoundTime {
        running: snapshot.jobs.len() - waiting(&snapshot),
        waiting: waiting(&snapshot),
        free: total - held,
        median: times[REPETITIONS / 2],
        longest: times[REPETITIONS - 1],
    })
}

fn submit(snapshot: &mut Snapshot, job: &TraceJob) {
    let record = JobRecord::submitted(job.spec.clone(), job.submitted_at);
    snapshot.jobs.insert(JobKey::of(&record), record);
}

/// Ends every fifth running job, so that free accelerators are scattered.
fn end_every_fifth_job(snapshot: &mut Snapshot) {
    let mut number = 0;
    snapshot.jobs.retain(|_, job| {
        number += usize::from(job.state == JobState::Running);
        job.state != JobState::Running || number % 5 != 0
    });
}

fn start_all(snapshot: &mut Snapshot, now: Timestamp) {
    for action in plan(snapshot, now) {
        if let Action::Start { job, placement } = action
            && let Some(record) = snapshot.jobs.get_mut(&job)
        {
            record.state = JobState::Running;
            record.started_at = Some(now);
            record.placement = Some(placement);
        }
    }
}
