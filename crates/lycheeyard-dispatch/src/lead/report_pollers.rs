use super::{directive::Directive, report_poller::ReportPoller, term_context::TermContext};
use crate::{clock::Clock, ports::WorkerCalls};
use lycheeyard_jobs::{EndNumber, JobScheduler, Now, WorkerInfo, WorkerKey, WorkerLimits};
use lycheeyard_protocol::WorkerId;
use std::collections::{BTreeMap, BTreeSet};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
};

/// The polling tasks, one for each worker.
pub(super) struct ReportPollers<W, C> {
    cx: TermContext<W>,
    clock: C,
    limits: WorkerLimits,
    handles: BTreeMap<WorkerId, PollerHandle>,
}

struct PollerHandle {
    key: WorkerKey,
    worker: watch::Sender<WorkerInfo>,
    directive: watch::Sender<Directive>,
    task: AbortHandle,
}

impl<W: WorkerCalls, C: Clock> ReportPollers<W, C> {
    pub fn new(cx: TermContext<W>, clock: C, limits: WorkerLimits) -> Self {
        Self {
            cx,
            clock,
            limits,
            handles: BTreeMap::new(),
        }
    }

    /// Starts and stops pollers so that exactly the workers that the scheduler polls have one, as soon as there is an epoch for
    /// their calls, and passes each poller its current directive.
    pub fn update(&mut self, scheduler: &JobScheduler, now: Now, tasks: &mut JoinSet<()>) {
        let mut wanted = BTreeSet::new();
        for worker in scheduler.workers_to_poll() {
            wanted.insert(worker.key.id.clone());
            self.ensure_poller(worker, tasks);
        }
        self.handles.retain(|id, handle| {
            let is_wanted = wanted.contains(id);
            if !is_wanted {
                handle.task.abort();
            }
            is_wanted
        });
        for acknowledgement in scheduler.acknowledgements(now) {
            let Some(handle) = self.handles.get(&acknowledgement.worker.id) else {
                continue;
            };
            let next = Directive {
                acknowledge: acknowledgement.through,
                extends_lease: acknowledgement.extends_lease,
                reports_often: acknowledgement.reports_often,
                awaits_next_incarnation: acknowledgement.awaits_next_incarnation,
            };
            send_if_changed(&handle.directive, &next);
        }
    }

    fn ensure_poller(&mut self, worker: &WorkerInfo, tasks: &mut JoinSet<()>) {
        if let Some(handle) = self.handles.get(&worker.key.id) {
            if handle.key == worker.key {
                send_if_changed(&handle.worker, worker);
                return;
            }
            handle.task.abort();
            self.handles.remove(&worker.key.id);
        }
        // Without an epoch the worker has to wait until one is drawn.
        if self.cx.epochs.assign(&worker.key).is_none() {
            return;
        }
        let (worker_tx, worker_rx) = watch::channel(worker.clone());
        let (directive_tx, directive_rx) = watch::channel(Directive {
            acknowledge: EndNumber(0),
            extends_lease: true,
            reports_often: false,
            awaits_next_incarnation: false,
        });
        let poller = ReportPoller {
            cx: self.cx.clone(),
            clock: self.clock.clone(),
            is_raised: false,
            worker: worker_rx,
            limits: self.limits,
            directive: directive_rx,
        };
        let handle = PollerHandle {
            key: worker.key.clone(),
            worker: worker_tx,
            directive: directive_tx,
            task: tasks.spawn(poller.run()),
        };
        self.handles.insert(worker.key.id.clone(), handle);
    }
}

/// Sends `next` if it differs from the current value.
fn send_if_changed<T: Clone + PartialEq>(tx: &watch::Sender<T>, next: &T) {
    tx.send_if_modified(|current| {
        let is_changed = current != next;
        if is_changed {
            current.clone_from(next);
        }
        is_changed
    });
}
