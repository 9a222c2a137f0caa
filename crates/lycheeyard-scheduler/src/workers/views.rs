use crate::gang::{GangView, Sight, TaskSight, task_id};
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

/// How long a worker that refused a task or gave no answer gets no new one.
const AVOID_FOR: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
struct View {
    epoch: Epoch,
    version: u64,
    tasks: BTreeMap<TaskId, TaskReport>,
    asked_at: Instant,
    received_at: Instant,
}

/// The calls to a worker since its last answer.
#[derive(Clone, Copy, Debug)]
struct Unanswered {
    since: Instant,
    last: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    views: BTreeMap<WorkerId, View>,
    unanswered: BTreeMap<WorkerId, Unanswered>,
    avoid_until: BTreeMap<WorkerId, Instant>,
}

/// The last report of each worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerViews {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl WorkerViews {
    /// Wakes when a worker reported a change.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Notes that a worker is being asked; it is silent when it leaves calls unanswered for long enough.
    pub fn note_asked(&self, worker: &WorkerId) {
        let now = Instant::now();
        let mut inner = self.lock();
        let first = Unanswered {
            since: now,
            last: now,
        };
        let unanswered = inner.unanswered.entry(worker.clone());
        unanswered.or_insert(first).last = now;
    }

    /// Takes a report in, asked for at `asked_at`, unless a newer one is known.
    pub fn absorb(&self, worker: &WorkerId, report: WorkerReport, asked_at: Instant) {
        let mut inner = self.lock();
        let received_at = Instant::now();
        inner.answered(worker, asked_at);
        let known = inner.views.get_mut(worker);
        if report.unchanged {
            if let Some(view) = known
                && view.version == report.version
            {
                view.asked_at = view.asked_at.max(asked_at);
                view.received_at = received_at;
                view.epoch = view.epoch.max(report.epoch);
            }
            return;
        }
        let newer = known
            .as_ref()
            .is_none_or(|view| report.version >= view.version || asked_at >= view.received_at);
        if !newer {
            return;
        }
        let changed = known.is_none_or(|view| view.version != report.version);
        let tasks = report.tasks.into_iter();
        let view = View {
            epoch: report.epoch,
            version: report.version,
            tasks: tasks.map(|task| (task.task.clone(), task)).collect(),
            asked_at,
            received_at,
        };
        inner.views.insert(worker.clone(), view);
        if changed {
            self.changed.notify_one();
        }
    }

    /// Keeps new tasks away from a worker for a few seconds.
    pub fn avoid(&self, worker: &WorkerId) {
        let until = Instant::now() + AVOID_FOR;
        self.lock().avoid_until.insert(worker.clone(), until);
    }

    /// The report version known of a worker.
    #[must_use]
    pub fn version(&self, worker: &WorkerId) -> Option<u64> {
        self.lock().views.get(worker).map(|view| view.version)
    }

    /// Whether a worker answers and does not refuse.
    #[must_use]
    pub fn is_usable(&self, worker: &WorkerId, silence_limit: Duration) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        let avoided = inner
            .avoid_until
            .get(worker)
            .is_some_and(|until| *until > now);
        let answers = inner
            .views
            .get(worker)
            .is_some_and(|view| view.asked_at + silence_limit > now);
        answers && !avoided
    }

    /// What is known of the tasks that a record's placement names.
    ///
    /// Answers to calls made before `since` are not used. A worker counts as silent when it has not answered
    /// for `silence_limit`. A task that is not in a report counts as stopped only if the worker already
    /// refuses epochs before `epoch`, since an older scheduler's call could still bring it up otherwise.
    #[must_use]
    pub fn gang(
        &self,
        record: &JobRecord,
        since: Option<Instant>,
        epoch: Epoch,
        silence_limit: Duration,
    ) -> GangView {
        let inner = self.lock();
        let placement = record.placement.iter();
        let tasks = placement.flat_map(|placement| &placement.allocations);
        let tasks = tasks.map(|allocation| TaskSight {
            worker: allocation.worker.clone(),
            sight: inner.sight(record, &allocation.worker, since, epoch, silence_limit),
        });
        GangView {
            tasks: tasks.collect(),
        }
    }

    /// The tasks that hold accelerators and that `is_named` does not know, by worker.
    #[must_use]
    pub fn orphans(
        &self,
        is_named: impl Fn(&WorkerId, &TaskReport) -> bool,
    ) -> BTreeMap<WorkerId, BTreeSet<TaskId>> {
        let inner = self.lock();
        let mut orphans: BTreeMap<WorkerId, BTreeSet<TaskId>> = BTreeMap::new();
        for (worker, view) in &inner.views {
            for task in view.tasks.values().filter(|task| holds(task.state)) {
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
    fn answered(&mut self, worker: &WorkerId, asked_at: Instant) {
        let Some(unanswered) = self.unanswered.get_mut(worker) else {
            return;
        };
        if unanswered.last <= asked_at {
            self.unanswered.remove(worker);
        } else {
            unanswered.since = unanswered.since.max(asked_at);
        }
    }

    fn sight(
        &self,
        record: &JobRecord,
        worker: &WorkerId,
        since: Option<Instant>,
        epoch: Epoch,
        silence_limit: Duration,
    ) -> Sight {
        let now = Instant::now();
        let view = self.views.get(worker);
        let silent = self.unanswered.get(worker).is_some_and(|unanswered| {
            unanswered.since + silence_limit <= now && unanswered.last + silence_limit > now
        });
        if silent {
            return Sight::Silent;
        }
        let Some(view) = view else {
            return Sight::Unknown;
        };
        if since.is_some_and(|since| view.asked_at < since) {
            return Sight::Unknown;
        }
        let task = task_id(record, worker).ok();
        match task.and_then(|task| view.tasks.get(&task)) {
            Some(task) => Sight::Seen {
                state: task.state,
                checkpoint_ms: task.checkpoint_ms,
            },
            None if view.epoch < epoch => Sight::Unknown,
            None => Sight::Seen {
                state: TaskState::Stopped,
                checkpoint_ms: record.checkpoint_ms,
            },
        }
    }
}

fn holds(state: TaskState) -> bool {
    matches!(state, TaskState::Prepared | TaskState::Running)
}
