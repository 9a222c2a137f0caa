use crate::delivery::Delivery;
use lycheeyard_clients::{CallClass, CallError, Store, StoreError, WriteOutcome};
use lycheeyard_protocol::{
    Timestamp,
    platform::{KeyValue, RangeReply, RangeRequest, WatchRequest, WriteReply, WriteRequest},
};
use lycheeyard_standin::StoreState;
use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

enum Pending {
    Read(
        RangeRequest,
        oneshot::Sender<Result<RangeReply, StoreError>>,
    ),
    Write(
        WriteRequest,
        oneshot::Sender<Result<WriteOutcome, StoreError>>,
    ),
}

#[derive(Default)]
struct Core {
    state: StoreState,
    pending: BTreeMap<(usize, u64), Pending>,
    delayed: Vec<WriteRequest>,
    calls: BTreeMap<usize, u64>,
}

/// A simulated store, as used by one instance. All clones in one test share their content.
#[derive(Clone)]
pub struct FakeStore {
    core: Arc<Mutex<Core>>,
    instance: usize,
}

impl FakeStore {
    pub fn new() -> Self {
        Self {
            core: Arc::default(),
            instance: 0,
        }
    }

    pub fn for_instance(&self, instance: usize) -> Self {
        Self {
            core: self.core.clone(),
            instance,
        }
    }

    /// Handles one pending call in the given way, if any is pending.
    pub fn deliver(&self, pick: usize, delivery: Delivery) {
        let mut core = self.lock();
        if core.pending.is_empty() {
            return;
        }
        let index = pick % core.pending.len();
        let key = *core.pending.keys().nth(index).expect("index is in range");
        let pending = core.pending.remove(&key).expect("key is present");
        core.execute(pending, delivery);
    }

    /// Applies one delayed write, if there is any.
    pub fn apply_delayed(&self, pick: usize) {
        let mut core = self.lock();
        if core.delayed.is_empty() {
            return;
        }
        let index = pick % core.delayed.len();
        let req = core.delayed.remove(index);
        core.state.write(req, now());
    }

    pub fn has_pending(&self) -> bool {
        !self.lock().pending.is_empty()
    }

    pub fn has_delayed(&self) -> bool {
        !self.lock().delayed.is_empty()
    }

    /// Reads a key directly, without simulated faults.
    pub fn peek(&self, key: &str) -> Option<KeyValue> {
        let req = RangeRequest {
            prefix: key.to_owned(),
            after: None,
            limit: 1,
        };
        let entries = self.lock().state.range(&req, now()).entries;
        entries.into_iter().find(|entry| entry.key == key)
    }

    fn lock(&self) -> MutexGuard<'_, Core> {
        self.core.lock().expect("lock is not poisoned")
    }

    fn enqueue(&self, pending: Pending) {
        let mut core = self.lock();
        let calls = core.calls.entry(self.instance).or_default();
        *calls += 1;
        let key = (self.instance, *calls);
        core.pending.insert(key, pending);
    }
}

impl Core {
    fn execute(&mut self, pending: Pending, delivery: Delivery) {
        match pending {
            Pending::Read(req, reply) => {
                let answer = match delivery {
                    Delivery::Answer | Delivery::Duplicate => Ok(self.state.range(&req, now())),
                    _ => Err(StoreError::NoAnswer(no_response())),
                };
                let _ = reply.send(answer);
            }
            Pending::Write(req, reply) => {
                let answer = self.write(req, delivery);
                let _ = reply.send(answer);
            }
        }
    }

    fn write(&mut self, req: WriteRequest, delivery: Delivery) -> Result<WriteOutcome, StoreError> {
        match delivery {
            Delivery::Answer => Ok(outcome(self.state.write(req, now()))),
            Delivery::LoseAnswer => {
                self.state.write(req, now());
                Ok(WriteOutcome::Unknown)
            }
            Delivery::Delay => {
                self.delayed.push(req);
                Ok(WriteOutcome::Unknown)
            }
            Delivery::Duplicate => {
                let answer = self.state.write(req.clone(), now());
                self.delayed.push(req);
                Ok(outcome(answer))
            }
            Delivery::Drop => Ok(WriteOutcome::Unknown),
            Delivery::Reject => Err(StoreError::Unavailable(CallError::Connect(address()))),
        }
    }
}

impl Store for FakeStore {
    async fn range(
        &self,
        _class: CallClass,
        req: RangeRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        let (tx, rx) = oneshot::channel();
        self.enqueue(Pending::Read(req, tx));
        let answer = timeout_at(deadline, rx).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Err(StoreError::NoAnswer(no_response())))
    }

    async fn write(
        &self,
        _class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<WriteOutcome, StoreError> {
        let (tx, rx) = oneshot::channel();
        self.enqueue(Pending::Write(req, tx));
        let answer = timeout_at(deadline, rx).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Ok(WriteOutcome::Unknown))
    }

    async fn watch(
        &self,
        class: CallClass,
        req: WatchRequest,
        deadline: Instant,
    ) -> Result<RangeReply, StoreError> {
        let req = RangeRequest {
            prefix: req.prefix,
            after: None,
            limit: usize::MAX,
        };
        self.range(class, req, deadline).await
    }
}

fn outcome(reply: WriteReply) -> WriteOutcome {
    match reply {
        WriteReply::Applied(version) => WriteOutcome::Applied(version),
        WriteReply::Conflict(present) => WriteOutcome::Conflict(present),
    }
}

fn now() -> Timestamp {
    Timestamp(1)
}

fn address() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1))
}

fn no_response() -> CallError {
    CallError::NoResponse(address())
}
