use super::{
    asker::{Asker, Directive},
    term_context::TermContext,
};
use crate::{clock::Clock, ports::WorkerCalls};
use lycheeyard_jobs::{EndNumber, JobScheduler, Now, WorkerInfo, WorkerKey};
use lycheeyard_protocol::WorkerId;
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::{AbortHandle, JoinSet},
};

/// The tasks that ask the workers for reports, one a worker.
pub(super) struct Askers<W, C> {
    cx: TermContext<W>,
    clock: C,
    max_lease: Duration,
    handles: BTreeMap<WorkerId, AskerHandle>,
}

struct AskerHandle {
    key: WorkerKey,
    worker: watch::Sender<WorkerInfo>,
    directive: watch::Sender<Directive>,
    task: AbortHandle,
}

impl<W: WorkerCalls, C: Clock> Askers<W, C> {
    pub fn new(cx: TermContext<W>, clock: C, max_lease: Duration) -> Self {
        Self {
            cx,
            clock,
            max_lease,
            handles: BTreeMap::new(),
        }
    }

    /// Asks just the workers that the scheduler wants to hear of, and tells each what is durable.
    pub fn direct(
        &mut self,
        scheduler: &JobScheduler,
        may_extend: bool,
        now: Now,
        tasks: &mut JoinSet<()>,
    ) {
        let mut wanted = BTreeSet::new();
        for worker in scheduler.workers_to_poll() {
            wanted.insert(worker.key.id.clone());
            self.keep(worker, tasks);
        }
        self.handles.retain(|id, handle| {
            let keep = wanted.contains(id);
            if !keep {
                handle.task.abort();
            }
            keep
        });
        for acknowledgement in scheduler.acknowledgements(now) {
            let Some(handle) = self.handles.get(&acknowledgement.worker.id) else {
                continue;
            };
            let next = Directive {
                acknowledge: acknowledgement.through,
                extends_lease: acknowledgement.extends_lease && may_extend,
                is_shared: acknowledgement.is_shared,
            };
            replace(&handle.directive, &next);
        }
    }

    fn keep(&mut self, worker: &WorkerInfo, tasks: &mut JoinSet<()>) {
        if let Some(handle) = self.handles.get(&worker.key.id) {
            if handle.key == worker.key {
                replace(&handle.worker, worker);
                return;
            }
            handle.task.abort();
        }
        let (worker_tx, worker_rx) = watch::channel(worker.clone());
        let (directive_tx, directive_rx) = watch::channel(Directive {
            acknowledge: EndNumber(0),
            extends_lease: true,
            is_shared: false,
        });
        let asker = Asker {
            cx: self.cx.clone(),
            clock: self.clock.clone(),
            worker: worker_rx,
            max_lease: self.max_lease,
            directive: directive_rx,
        };
        let handle = AskerHandle {
            key: worker.key.clone(),
            worker: worker_tx,
            directive: directive_tx,
            task: tasks.spawn(asker.run()),
        };
        self.handles.insert(worker.key.id.clone(), handle);
    }
}

fn replace<T: Clone + PartialEq>(tx: &watch::Sender<T>, next: &T) {
    tx.send_if_modified(|known| {
        let changed = known != next;
        if changed {
            known.clone_from(next);
        }
        changed
    });
}
