use super::{JobLog, LowerBound, Simulation, Trace, TraceJob, bound::seconds};
use lycheeyard_protocol::{Preemption, Priority, Timestamp};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// How large a job is.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum SizeClass {
    /// Up to 4 accelerators.
    Small,
    /// Up to 16 accelerators.
    Medium,
    /// More than 16 accelerators.
    Large,
}

/// The completion times of some jobs, in seconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// The mean.
    pub mean_s: f64,
    /// The 95th percentile.
    pub p95_s: f64,
    /// The number of jobs.
    pub jobs: usize,
}

/// What one simulation showed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measures {
    /// All jobs.
    pub completion: Completion,
    /// Jobs by size.
    pub by_size: BTreeMap<SizeClass, Completion>,
    /// Useless idle accelerator time as a share of idle accelerator time, while jobs wait.
    pub fragmentation: f64,
    /// Idle accelerator time while jobs wait, as a share of all accelerator time.
    pub idle_while_waiting: f64,
    /// The share of accelerator time that useful work fills until the last job ends.
    pub utilisation: f64,
    /// The longest time from a reclaim to the claimant's start, in seconds.
    pub reclaim_max_s: f64,
    /// The number of reclaims that ended in a start.
    pub reclaims: usize,
    /// Accelerator time that was used without keeping the result, as a share of useful work.
    pub wasted: f64,
    /// Jain's index over the organisations' mean slowdowns; 1 is even.
    pub fairness: f64,
    /// The share of jobs with an agreed window that ended within it.
    pub within_window: f64,
    /// The longest time to start of urgent jobs, in seconds, but for those behind their organisation's own work.
    pub urgent_max_s: f64,
    /// The number of such urgent jobs.
    pub urgent: usize,
    /// The number of urgent jobs behind their organisation's own urgent or non-preemptible guaranteed work.
    pub urgent_behind_own: usize,
    /// The longest planning round, in milliseconds of real time.
    pub round_max_ms: f64,
    /// The mean planning round, in milliseconds of real time.
    pub round_mean_ms: f64,
}

impl Measures {
    /// Works out the measures of a simulation.
    #[must_use]
    pub fn of(trace: &Trace, simulation: &Simulation) -> Self {
        let done: Vec<(&TraceJob, &JobLog)> = trace
            .jobs
            .iter()
            .zip(&simulation.logs)
            .filter(|(_, log)| log.ended_at.is_some())
            .collect();
        let capacity = f64::from(trace.accelerators());
        let end = done.iter().filter_map(|(_, log)| log.ended_at).max();
        let all_time = seconds(end.unwrap_or_default().0) * capacity;
        let useful: f64 = done.iter().map(|(job, _)| work_s(job)).sum();
        let wasted: u64 = simulation.logs.iter().map(|log| log.wasted_ms).sum();
        let (idle, useless) = idle_time(simulation);
        let urgent: Vec<&(&TraceJob, &JobLog)> = done
            .iter()
            .filter(|(job, _)| job.spec.priority == Priority::Urgent)
            .collect();
        let behind_own = |entry: &&&(&TraceJob, &JobLog)| is_behind_own(entry.0, &done);
        let urgent_behind_own = urgent.iter().filter(behind_own).count();
        let in_time = urgent.iter().filter(|entry| !is_behind_own(entry.0, &done));
        let urgent_max = in_time.map(|(job, log)| wait(job, log)).max();
        Self {
            completion: completion(&done, |_| true),
            by_size: [SizeClass::Small, SizeClass::Medium, SizeClass::Large]
                .into_iter()
                .map(|class| (class, completion(&done, |job| size_class(job) == class)))
                .collect(),
            fragmentation: ratio(useless, idle),
            idle_while_waiting: ratio(idle, all_time),
            utilisation: ratio(useful, all_time),
            reclaim_max_s: simulation
                .reclaims
                .iter()
                .max()
                .map_or(0.0, Duration::as_secs_f64),
            reclaims: simulation.reclaims.len(),
            wasted: ratio(seconds(wasted), useful),
            fairness: fairness(&done),
            within_window: within_window(&done),
            urgent_max_s: urgent_max.map_or(0.0, |wait| wait.as_secs_f64()),
            urgent: urgent.len() - urgent_behind_own,
            urgent_behind_own,
            round_max_ms: longest(&simulation.rounds).as_secs_f64() * 1_000.0,
            round_mean_ms: mean(simulation.rounds.iter().map(Duration::as_secs_f64)) * 1_000.0,
        }
    }

    /// The utilisation as a share of the lower bound's.
    #[must_use]
    pub fn utilisation_of(&self, bound: &LowerBound) -> f64 {
        ratio(self.utilisation, bound.utilisation)
    }
}

fn longest(rounds: &[Duration]) -> Duration {
    rounds.iter().max().copied().unwrap_or_default()
}

fn work_s(job: &TraceJob) -> f64 {
    seconds(job.actual_ms) * f64::from(job.spec.shape.total())
}

fn wait(job: &TraceJob, log: &JobLog) -> Duration {
    let started = log.first_start.unwrap_or(Timestamp(u64::MAX));
    started.since(job.submitted_at)
}

/// Whether guaranteed work of the same organisation that may not be stopped ran when an urgent job came.
fn is_behind_own(job: &TraceJob, done: &[(&TraceJob, &JobLog)]) -> bool {
    done.iter().any(|(other, log)| {
        let fixed =
            other.spec.preemption == Preemption::Never || other.spec.priority == Priority::Urgent;
        other.spec.organisation == job.spec.organisation
            && other.spec.job != job.spec.job
            && other.spec.guaranteed
            && fixed
            && other.submitted_at <= job.submitted_at
            && log.ended_at > Some(job.submitted_at)
    })
}

fn idle_time(simulation: &Simulation) -> (f64, f64) {
    let weighed = simulation.idle.iter().map(|(_, lasts, now)| {
        let lasts = lasts.as_secs_f64();
        (lasts * f64::from(now.idle), lasts * f64::from(now.useless))
    });
    weighed.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

fn size_class(job: &TraceJob) -> SizeClass {
    match job.spec.shape.total() {
        0..=4 => SizeClass::Small,
        5..=16 => SizeClass::Medium,
        _ => SizeClass::Large,
    }
}

fn completion_s(job: &TraceJob, log: &JobLog) -> f64 {
    let ended = log.ended_at.unwrap_or(job.submitted_at);
    ended.since(job.submitted_at).as_secs_f64()
}

fn completion(done: &[(&TraceJob, &JobLog)], counts: impl Fn(&TraceJob) -> bool) -> Completion {
    let mut times: Vec<f64> = done
        .iter()
        .filter(|(job, _)| counts(job))
        .map(|(job, log)| completion_s(job, log))
        .collect();
    times.sort_by(f64::total_cmp);
    let p95 = times.get((times.len() * 95).div_ceil(100).saturating_sub(1));
    Completion {
        mean_s: mean(times.iter().copied()),
        p95_s: p95.copied().unwrap_or(0.0),
        jobs: times.len(),
    }
}

fn within_window(done: &[(&TraceJob, &JobLog)]) -> f64 {
    let kept = done.iter().filter_map(|(job, log)| {
        let window = Duration::from_millis(job.spec.window_ms?);
        Some(completion_s(job, log) <= window.as_secs_f64())
    });
    let kept: Vec<f64> = kept.map(|kept| if kept { 1.0 } else { 0.0 }).collect();
    if kept.is_empty() {
        1.0
    } else {
        mean(kept.into_iter())
    }
}

fn fairness(done: &[(&TraceJob, &JobLog)]) -> f64 {
    let mut slowdowns: BTreeMap<_, Vec<f64>> = BTreeMap::new();
    for (job, log) in done {
        let slowdown = completion_s(job, log) / seconds(job.actual_ms.max(1)).max(600.0);
        let organisation = &job.spec.organisation;
        slowdowns
            .entry(organisation)
            .or_default()
            .push(slowdown.max(1.0));
    }
    let means: Vec<f64> = slowdowns
        .values()
        .map(|slowdowns| mean(slowdowns.iter().copied()))
        .collect();
    let sum: f64 = means.iter().sum();
    let squares: f64 = means.iter().map(|x| x * x).sum();
    let count = f64::from(u32::try_from(means.len()).unwrap_or(u32::MAX));
    ratio(sum * sum, squares * count)
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = f64::from(u32::try_from(values.len()).unwrap_or(u32::MAX));
    ratio(values.sum(), count)
}

fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { 0.0 } else { part / whole }
}
