use crate::gang::{GangView, ObservedTask, TaskObservation, task_id};
use lycheeyard_protocol::{
    Epoch, JobRecord, TaskId, WorkerId,
    platform::{TaskReport, TaskState, WorkerReport},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::Notify, time::Instant};

/// How long a worker gets no new tasks after it refused one, failed one or did not answer.
const AVOID_DURATION: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct LatestReport {
    epoch: Epoch,
    version: u64,
    tasks: BTreeMap<TaskId, TaskReport>,
    requested_at: Instant,
    received_at: Instant,
}

/// The polls of a worker since the last call that it answered.
#[derive(Clone, Copy, Debug)]
struct UnansweredCalls {
    /// The worker has answered no call sent after this time.
    since: Instant,
    last_poll_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    reports: BTreeMap<WorkerId, LatestReport>,
    unanswered: BTreeMap<WorkerId, UnansweredCalls>,
    avoid_until: BTreeMap<WorkerId, Instant>,
}

/// The latest report of each worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerReports {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl WorkerReports {
    /// Waits until a worker reports a change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Records that a worker is being polled. It counts as silent once it has answered no call for the silence limit.
    pub fn note_poll(&self, worker: &WorkerId) {
        let now = Instant::now();
        let mut inner = self.lock();
        let first = UnansweredCalls {
            since: now,
            last_poll_at: now,
        };
        let unanswered = inner.unanswered.entry(worker.clone());
        unanswered.or_insert(first).last_poll_at = now;
    }

    /// Stores a report that was requested at `requested_at`, unless a newer one is already stored.
    pub fn record(&self, worker: &WorkerId, report: WorkerReport, requested_at: Instant) {
        let mut inner = self.lock();
        let received_at = Instant::now();
        inner.note_answer(worker, requested_at);
        let stored = inner.reports.get_mut(worker);
        if report.unchanged {
            if let Some(latest) = stored
                && latest.version == report.version
            {
                latest.requested_at = latest.requested_at.max(requested_at);
                latest.received_at = received_at;
                latest.epoch = latest.epoch.max(report.epoch);
            }
            return;
        }
        // Even a report with a lower version is newer if it was requested after the stored one arrived.
        let is_newer = stored.as_ref().is_none_or(|latest| {
            report.version >= latest.version || requested_at >= latest.received_at
        });
        if !is_newer {
            return;
        }
        let changed = stored.is_none_or(|latest| latest.version != report.version);
        let tasks = report.tasks.into_iter();
        let latest = LatestReport {
            epoch: report.epoch,
            version: report.version,
            tasks: tasks.map(|task| (task.task.clone(), task)).collect(),
            requested_at,
            received_at,
        };
        inner.reports.insert(worker.clone(), latest);
        if changed {
            self.changed.notify_one();
        }
    }

    /// Excludes a worker from new placements for a few seconds.
    pub fn avoid(&self, worker: &WorkerId) {
        let until = Instant::now() + AVOID_DURATION;
        self.lock().avoid_until.insert(worker.clone(), until);
    }

    /// The version of a worker's latest report. A call that names it may be answered without the unchanged tasks.
    #[must_use]
    pub fn version(&self, worker: &WorkerId) -> Option<u64> {
        self.lock().reports.get(worker).map(|latest| latest.version)
    }

    /// Whether a worker may get new tasks: it answered a call sent within `max_silence` and is not being avoided.
    #[must_use]
    pub fn is_usable(&self, worker: &WorkerId, max_silence: Duration) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        let is_avoided = inner
            .avoid_until
            .get(worker)
            .is_some_and(|until| *until > now);
        let answers = inner
            .reports
            .get(worker)
            .is_some_and(|latest| latest.requested_at + max_silence > now);
        answers && !is_avoided
    }

    /// Returns what the workers reported of the tasks that a record's placement names.
    ///
    /// Reports requested before `since` are ignored. A polled worker counts as silent if it has answered no call for
    /// `silence_limit`. A task that a report lacks counts as stopped only if the worker already rejects epochs before
    /// `epoch`; otherwise a late call of an older scheduler could still start it.
    #[must_use]
    pub fn gang_view(
        &self,
        record: &JobRecord,
        since: Option<Instant>,
        epoch: Epoch,
        silence_limit: Duration,
    ) -> GangView {
        let inner = self.lock();
        let placement = record.placement.iter();
        let tasks = placement.flat_map(|placement| &placement.allocations);
        let tasks = tasks.map(|allocation| ObservedTask {
            worker: allocation.worker.clone(),
            observation: inner.observe_task(
                record,
                &allocation.worker,
                since,
                epoch,
                silence_limit,
            ),
        });
        GangView {
            tasks: tasks.collect(),
        }
    }

    /// Returns the tasks that hold accelerators and for which `is_named` is false, by worker.
    #[must_use]
    pub fn orphans(
        &self,
        is_named: impl Fn(&WorkerId, &TaskReport) -> bool,
    ) -> BTreeMap<WorkerId, BTreeSet<TaskId>> {
        let inner = self.lock();
        let mut orphans: BTreeMap<WorkerId, BTreeSet<TaskId>> = BTreeMap::new();
        for (worker, latest) in &inner.reports {
            for task in latest
                .tasks
                .values()
                .filter(|task| holds_accelerators(task.state))
            {
                if !is_named(worker, task) {
                    let tasks = orphans.entry(worker.clone()).or_default();
                    tasks.insert(task.task.clone());
                }
            }
        }
        orphans
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn note_answer(&mut self, worker: &WorkerId, requested_at: Instant) {
        let Some(unanswered) = self.unanswered.get_mut(worker) else {
            return;
        };
        if unanswered.last_poll_at <= requested_at {
            self.unanswered.remove(worker);
        } else {
            unanswered.since = unanswered.since.max(requested_at);
        }
    }

    fn observe_task(
        &self,
        record: &JobRecord,
        worker: &WorkerId,
        since: Option<Instant>,
        epoch: Epoch,
        silence_limit: Duration,
    ) -> TaskObservation {
        let now = Instant::now();
        let latest = self.reports.get(worker);
        // A worker counts as silent only while it is being polled: without a recent poll, no answer is due.
        let is_silent = self.unanswered.get(worker).is_some_and(|unanswered| {
            unanswered.since + silence_limit <= now && unanswered.last_poll_at + silence_limit > now
        });
        if is_silent {
            return TaskObservation::Silent;
        }
        let Some(latest) = latest else {
            return TaskObservation::Unknown;
        };
        if since.is_some_and(|since| latest.requested_at < since) {
            return TaskObservation::Unknown;
        }
        let task = task_id(record, worker).ok();
        match task.and_then(|task| latest.tasks.get(&task)) {
            Some(task) => TaskObservation::Reported {
                state: task.state,
                checkpoint_ms: task.checkpoint_ms,
            },
            None if latest.epoch < epoch => TaskObservation::Unknown,
            None => TaskObservation::Reported {
                state: TaskState::Stopped,
                checkpoint_ms: record.checkpoint_ms,
            },
        }
    }
}

fn holds_accelerators(state: TaskState) -> bool {
    matches!(state, TaskState::Prepared | TaskState::Running)
}
