use super::{JobLog, LowerBound, Simulation, Trace, TraceJob, bound::seconds};
use lycheeyard_protocol::{Preemption, Priority, Timestamp};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};
use strum::Display;

/// The size of a job by its accelerators.
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

/// The completion times of a set of jobs, from submission to end.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Completion {
    /// The mean in seconds.
    pub mean_s: f64,
    /// The 95th percentile in seconds.
    pub p95_s: f64,
    /// The number of jobs.
    pub jobs: usize,
}

/// The results of one simulation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Measures {
    /// Completion times of all jobs.
    pub completion: Completion,
    /// Completion times by size of job.
    pub by_size: BTreeMap<SizeClass, Completion>,
    /// The share of the idle accelerator time that no requested shape can use, while jobs wait.
    pub fragmentation: f64,
    /// Idle accelerator time while jobs wait, as a share of all accelerator time.
    pub idle_while_waiting: f64,
    /// Useful work as a share of the accelerator time until the last job ends.
    pub utilisation: f64,
    /// The longest time from a reclaim to the start of the claimant, in seconds.
    pub reclaim_max_s: f64,
    /// The number of reclaims that were followed by a start of the claimant.
    pub reclaims: usize,
    /// Accelerator time whose result was lost, as a share of useful work.
    pub wasted: f64,
    /// Jain's fairness index over the mean slowdowns of the organisations; 1 means equal slowdowns.
    pub fairness: f64,
    /// The share of the jobs with an agreed window that ended within it.
    pub within_window: f64,
    /// The longest wait of an urgent job for its start, in seconds, without the jobs of `urgent_behind_own`.
    pub urgent_max_s: f64,
    /// The number of urgent jobs in `urgent_max_s`.
    pub urgent: usize,
    /// The number of urgent jobs that waited behind urgent or non-preemptible guaranteed work of their own organisation.
    pub urgent_behind_own: usize,
    /// The longest planning round in milliseconds of real time.
    pub round_max_ms: f64,
    /// The mean planning round in milliseconds of real time.
    pub round_mean_ms: f64,
}

impl Measures {
    /// Computes the results of a simulation of `trace`.
    #[must_use]
    pub fn from_simulation(trace: &Trace, simulation: &Simulation) -> Self {
        let ended: Vec<(&TraceJob, &JobLog)> = trace
            .jobs
            .iter()
            .zip(&simulation.logs)
            .filter(|(_, log)| log.ended_at.is_some())
            .collect();
        let capacity = f64::from(trace.accelerators());
        let end = ended.iter().filter_map(|(_, log)| log.ended_at).max();
        let all_time = seconds(end.unwrap_or_default().0) * capacity;
        let useful: f64 = ended.iter().map(|(job, _)| work_s(job)).sum();
        let wasted: u64 = simulation.logs.iter().map(|log| log.wasted_ms).sum();
        let (idle, unusable) = idle_time(simulation);
        let urgent: Vec<&(&TraceJob, &JobLog)> = ended
            .iter()
            .filter(|(job, _)| job.spec.priority == Priority::Urgent)
            .collect();
        let behind_own = |entry: &&&(&TraceJob, &JobLog)| is_behind_own(entry.0, &ended);
        let urgent_behind_own = urgent.iter().filter(behind_own).count();
        let not_behind_own = urgent
            .iter()
            .filter(|entry| !is_behind_own(entry.0, &ended));
        let urgent_max = not_behind_own
            .map(|(job, log)| waiting_time(job, log))
            .max();
        Self {
            completion: completion(&ended, |_| true),
            by_size: [SizeClass::Small, SizeClass::Medium, SizeClass::Large]
                .into_iter()
                .map(|class| (class, completion(&ended, |job| size_class(job) == class)))
                .collect(),
            fragmentation: ratio(unusable, idle),
            idle_while_waiting: ratio(idle, all_time),
            utilisation: ratio(useful, all_time),
            reclaim_max_s: simulation
                .reclaims
                .iter()
                .max()
                .map_or(0.0, Duration::as_secs_f64),
            reclaims: simulation.reclaims.len(),
            wasted: ratio(seconds(wasted), useful),
            fairness: fairness(&ended),
            within_window: within_window(&ended),
            urgent_max_s: urgent_max.map_or(0.0, |wait| wait.as_secs_f64()),
            urgent: urgent.len() - urgent_behind_own,
            urgent_behind_own,
            round_max_ms: longest(&simulation.rounds).as_secs_f64() * 1_000.0,
            round_mean_ms: mean(simulation.rounds.iter().map(Duration::as_secs_f64)) * 1_000.0,
        }
    }

    /// The utilisation as a share of the utilisation of `bound`.
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

fn waiting_time(job: &TraceJob, log: &JobLog) -> Duration {
    let started = log.first_start.unwrap_or(Timestamp(u64::MAX));
    started.since(job.submitted_at)
}

/// Whether guaranteed work of the same organisation that cannot be preempted was unfinished when the job was submitted.
fn is_behind_own(job: &TraceJob, ended: &[(&TraceJob, &JobLog)]) -> bool {
    ended.iter().any(|(other, log)| {
        let is_not_preemptible =
            other.spec.preemption == Preemption::Never || other.spec.priority == Priority::Urgent;
        other.spec.organisation == job.spec.organisation
            && other.spec.job != job.spec.job
            && other.spec.guaranteed
            && is_not_preemptible
            && other.submitted_at <= job.submitted_at
            && log.ended_at > Some(job.submitted_at)
    })
}

fn idle_time(simulation: &Simulation) -> (f64, f64) {
    let weighted = simulation.idle.iter().map(|(_, duration, now)| {
        let duration = duration.as_secs_f64();
        (
            duration * f64::from(now.idle),
            duration * f64::from(now.unusable),
        )
    });
    weighted.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

pub(super) fn size_class(job: &TraceJob) -> SizeClass {
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

fn completion(
    ended: &[(&TraceJob, &JobLog)],
    is_counted: impl Fn(&TraceJob) -> bool,
) -> Completion {
    let mut times: Vec<f64> = ended
        .iter()
        .filter(|(job, _)| is_counted(job))
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

fn within_window(ended: &[(&TraceJob, &JobLog)]) -> f64 {
    let within = ended.iter().filter_map(|(job, log)| {
        let window = Duration::from_millis(job.spec.window_ms?);
        Some(completion_s(job, log) <= window.as_secs_f64())
    });
    let within: Vec<f64> = within
        .map(|within| if within { 1.0 } else { 0.0 })
        .collect();
    if within.is_empty() {
        1.0
    } else {
        mean(within.into_iter())
    }
}

fn fairness(ended: &[(&TraceJob, &JobLog)]) -> f64 {
    let mut slowdowns: BTreeMap<_, Vec<f64>> = BTreeMap::new();
    for (job, log) in ended {
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
