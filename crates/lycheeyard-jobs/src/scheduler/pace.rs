use super::{JobScheduler, Now, Order, RunKind, RunPhase, StopReason, ThrottleOrder, WorkerEntry};
use crate::{BootTime, RunNumber, TaskKey, WorkerKey};
use lycheeyard_protocol::Percent;
use std::time::Duration;

/// The share of a run that nothing holds back.
pub(crate) const FULL_SHARE: Percent = Percent(100);
/// The share at which filling runs begin beside runs that answer requests.
pub(crate) const FIRST_SHARE: Percent = Percent(30);
/// The share rises by this much with each report,
const SHARE_STEP: u8 = 10;
/// and a lower one than this is none.
const LEAST_SHARE: u8 = 5;
/// The share is halved once response times reach this part of their limit, in hundredths,
const HIGH_TAIL: u64 = 85;
/// and rises while they are below this part.
const LOW_TAIL: u64 = 60;
/// A filling run that gets nothing for this long is stopped, to run elsewhere.
const IDLE_LIMIT: Duration = Duration::from_secs(6);

/// The share of its speed at which a run works.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// What the worker has confirmed; none for a run of an earlier holder.
    confirmed: Option<Percent>,
    /// Since when its share is none.
    idle_since: Option<BootTime>,
}

impl Pace {
    /// The pace of a run in its first phase: a worker starts runs at full speed.
    pub fn at_start(phase: RunPhase) -> Self {
        Self {
            confirmed: (phase != RunPhase::Inherited).then_some(FULL_SHARE),
            idle_since: None,
        }
    }
}

/// How response times stand to their limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TailLevel {
    /// Nothing answers requests.
    None,
    Low,
    Middle,
    High,
}

impl JobScheduler {
    /// Sets the share of the filling runs on a worker by the response times beside them.
    pub(super) fn pace_fillers(&mut self, key: &WorkerKey, now: Now) {
        let Some(entry) = self.workers.get(&key.id).filter(|entry| entry.key == *key) else {
            return;
        };
        if entry.filling == 0 && entry.serving_runs == 0 {
            return;
        }
        let tail_level = self.tail_level(entry);
        if let Some(entry) = self.worker_mut(key) {
            entry.best_effort_share = next_share(entry.best_effort_share, tail_level);
        }
        // An older order that the worker carries out late may have undone the last one.
        self.send_shares(key, tail_level == TailLevel::High, now);
    }

    /// Tells a worker the share of its filling runs, where it has not confirmed it, or in any case.
    pub(super) fn send_shares(&mut self, key: &WorkerKey, again: bool, now: Now) {
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        if entry.filling == 0 {
            return;
        }
        let share = entry.best_effort_share;
        let tasks: Vec<TaskKey> = entry.tasks.iter().cloned().collect();
        for task in tasks {
            self.pace_run(&task, share, again, now.boot);
        }
    }

    /// Takes note that a worker has confirmed the share of a run.
    pub fn throttle_answered(&mut self, task: &TaskKey, number: RunNumber, share: Percent) {
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number) {
            run.pace.confirmed = Some(share);
        }
    }

    /// Stops the filling runs that have got no processor time for long.
    pub(super) fn stop_paced_out(&mut self, now: Now) {
        let over = |since: BootTime| since.after(IDLE_LIMIT).is_past(now.boot);
        let out: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.stop_reason.is_none() && run.pace.idle_since.is_some_and(over))
            .map(|(task, _)| task.clone())
            .collect();
        for task in out {
            let worker = self.runs[&task].worker.id.clone();
            self.avoid_worker(&task, &worker);
            self.stop_with_gang(&task, StopReason::PacedOut);
        }
    }

    /// The worst response times on a worker, against their limits.
    fn tail_level(&self, entry: &WorkerEntry) -> TailLevel {
        let runs = entry.tasks.iter().filter_map(|task| self.runs.get(task));
        let parts = runs.filter_map(|run| match run.kind {
            RunKind::Serving(target_ms) => {
                let tail = run.tail_ms.unwrap_or(0);
                Some(tail.saturating_mul(100) / target_ms.max(1))
            }
            _ => None,
        });
        match parts.max() {
            None => TailLevel::None,
            Some(part) if part >= HIGH_TAIL => TailLevel::High,
            Some(part) if part < LOW_TAIL => TailLevel::Low,
            Some(_) => TailLevel::Middle,
        }
    }

    fn pace_run(&mut self, task: &TaskKey, share: Percent, again: bool, now: BootTime) {
        let Some(run) = self.runs.get_mut(task) else {
            return;
        };
        let is_here = run.phase == RunPhase::Present && run.stop_reason.is_none();
        if run.kind != RunKind::Filling || !is_here {
            return;
        }
        if share == Percent(0) {
            run.pace.idle_since.get_or_insert(now);
        } else {
            run.pace.idle_since = None;
        }
        if run.pace.confirmed == Some(share) && !again {
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
        TailLevel::Low => Percent((share.0 + SHARE_STEP).min(FULL_SHARE.0)),
        // The next report tells whether there is a little time to fill after all.
        TailLevel::Middle => Percent(share.0.max(LEAST_SHARE)),
        TailLevel::High if share.0 / 2 < LEAST_SHARE => Percent(0),
        TailLevel::High => Percent(share.0 / 2),
    }
}
