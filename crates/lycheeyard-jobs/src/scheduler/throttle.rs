use super::{JobScheduler, Now, Order, RunKind, RunPhase, StopReason, ThrottleOrder, WorkerEntry};
use crate::{BootTime, RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::Percent;
use std::time::Duration;

/// The CPU share of a run that is not throttled.
pub(crate) const FULL_SHARE: Percent = Percent(100);
/// The CPU share of best-effort runs when they begin to share a worker with runs that serve requests.
pub(crate) const INITIAL_SHARE: Percent = Percent(30);
/// The share rises by this many percentage points with each report while tail latency is low.
const SHARE_INCREMENT_PERCENT: u8 = 10;
/// The lowest share above zero. A share that would fall below it is set to zero.
const MIN_SHARE_PERCENT: u8 = 5;
/// The share is halved with each report while tail latency is at or above this percentage of its target.
const HIGH_TAIL_PERCENT: u64 = 85;
/// The share rises while tail latency is below this percentage of its target.
const LOW_TAIL_PERCENT: u64 = 60;
/// A best-effort run whose share has been zero for this long is stopped, so that it can run elsewhere.
const MAX_ZERO_SHARE_TIME: Duration = Duration::from_secs(6);

/// How far a run is throttled.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ThrottleState {
    /// The CPU share that the worker has confirmed; `None` for a run of a previous scheduling instance.
    confirmed_share: Option<Percent>,
    /// Since when the run's share has been zero.
    zero_share_since: Option<BootTime>,
}

impl ThrottleState {
    /// The state of a new run in its first phase: a worker starts runs unthrottled.
    pub fn at_start(phase: RunPhase) -> Self {
        Self {
            confirmed_share: (phase != RunPhase::Inherited).then_some(FULL_SHARE),
            zero_share_since: None,
        }
    }
}

/// The highest tail latency on a worker relative to its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TailLevel {
    /// No run on the worker serves requests.
    None,
    Low,
    Medium,
    High,
}

impl JobScheduler {
    /// Adjusts the CPU share of the best-effort runs on a worker to the tail latency of its serving runs.
    pub(super) fn update_throttle(&mut self, key: &WorkerKey, now: Now) {
        let Some(entry) = self.workers.get(&key.id).filter(|entry| entry.key == *key) else {
            return;
        };
        if entry.best_effort_runs == 0 && entry.serving_runs == 0 {
            return;
        }
        let tail_level = self.tail_level(entry);
        if let Some(entry) = self.worker_mut(key) {
            entry.best_effort_share = next_share(entry.best_effort_share, tail_level);
        }
        // Sent again while latency is high: an older order that the worker executed late may have undone the last one.
        self.send_throttle_orders(key, tail_level == TailLevel::High, now);
    }

    /// Sends a worker the CPU share of its best-effort runs.
    ///
    /// Runs whose share the worker has confirmed are left out unless `resend` is set.
    pub(super) fn send_throttle_orders(&mut self, key: &WorkerKey, resend: bool, now: Now) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        if entry.best_effort_runs == 0 {
            return;
        }
        let share = entry.best_effort_share;
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        for task in tasks {
            self.throttle_run(&task, share, resend, now.boot);
        }
    }

    /// Records that a worker has confirmed the CPU share of a run.
    pub fn throttle_answered(&mut self, task: &TaskKey, number: RunNumber, share: Percent) {
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) {
            run.throttle.confirmed_share = Some(share);
        }
    }

    /// Stops the best-effort runs whose CPU share has been zero for too long.
    pub(super) fn stop_cpu_starved(&mut self, now: Now) {
        let is_too_long = |since: BootTime| since.after(MAX_ZERO_SHARE_TIME).is_past(now.boot);
        let starved: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| {
                run.stop_reason.is_none() && run.throttle.zero_share_since.is_some_and(is_too_long)
            })
            .map(|(task, _)| task.clone())
            .collect();
        for task in starved {
            let worker = self.runs[&task].worker.id.clone();
            self.avoid_worker(&task, &worker);
            self.stop_with_gang(&task, StopReason::CpuStarved, now.boot);
        }
    }

    /// The level of the highest tail latency on a worker, relative to its target.
    fn tail_level(&self, entry: &WorkerEntry) -> TailLevel {
        let runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
        let percentages = runs.filter_map(|run| match run.kind {
            RunKind::Serving(target_ms) => {
                let tail = run.tail_latency_ms.unwrap_or(0);
                Some(tail.saturating_mul(100) / target_ms.max(1))
            }
            _ => None,
        });
        match percentages.max() {
            None => TailLevel::None,
            Some(percentage) if percentage >= HIGH_TAIL_PERCENT => TailLevel::High,
            Some(percentage) if percentage < LOW_TAIL_PERCENT => TailLevel::Low,
            Some(_) => TailLevel::Medium,
        }
    }

    fn throttle_run(&mut self, task: &TaskKey, share: Percent, resend: bool, now: BootTime) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let is_running = run.phase == RunPhase::Present && run.stop_reason.is_none();
        if run.kind != RunKind::BestEffort || !is_running {
            return;
        }
        if share == Percent(0) {
            run.throttle.zero_share_since.get_or_insert(now);
        } else {
            run.throttle.zero_share_since = None;
        }
        if run.throttle.confirmed_share == Some(share) && !resend {
            return;
        }
        let (worker, number) = (run.worker.clone(), run.number);
        let entry = self.worker_mut(&worker);
        let address = entry.and_then(|entry| entry.info.as_ref().map(|info| info.address));
        if let Some(address) = address {
            self.orders.push(Order::Throttle(ThrottleOrder {
                worker,
                address,
                task: task.clone(),
                run: number,
                share,
            }));
        }
    }
}

fn next_share(share: Percent, tail_level: TailLevel) -> Percent {
    match tail_level {
        TailLevel::None => FULL_SHARE,
        TailLevel::Low => Percent((share.0 + SHARE_INCREMENT_PERCENT).min(FULL_SHARE.0)),
        // A share of zero is raised to the minimum; the next report shows whether latency allows that.
        TailLevel::Medium => Percent(share.0.max(MIN_SHARE_PERCENT)),
        TailLevel::High if share.0 / 2 < MIN_SHARE_PERCENT => Percent(0),
        TailLevel::High => Percent(share.0 / 2),
    }
}
