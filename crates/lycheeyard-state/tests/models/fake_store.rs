use crate::fate::Fate;
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
    late: Vec<WriteRequest>,
    calls: BTreeMap<usize, u64>,
}

/// The store as one instance sees it; all clones for one test share the content.
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

    /// Decides the fate of one waiting call, if any waits.
    pub fn deliver(&self, pick: usize, fate: Fate) {
        let mut core = self.lock();
        if core.pending.is_empty() {
            return;
        }
        let index = pick % core.pending.len();
        let key = *core.pending.keys().nth(index).expect("an index in range");
        let pending = core.pending.remove(&key).expect("a present key");
        core.carry_out(pending, fate);
    }

    /// Lets one delayed call take effect, if there is any.
    pub fn land_late(&self, pick: usize) {
        let mut core = self.lock();
        if core.late.is_empty() {
            return;
        }
        let index = pick % core.late.len();
        let req = core.late.remove(index);
        core.state.write(req, now());
    }

    pub fn has_waiting(&self) -> bool {
        !self.lock().pending.is_empty()
    }

    pub fn has_late(&self) -> bool {
        !self.lock().late.is_empty()
    }

    /// Reads a key around all faults.
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
        self.core.lock().expect("no panic while the lock is held")
    }

    fn push(&self, pending: Pending) {
        let mut core = self.lock();
        let calls = core.calls.entry(self.instance).or_default();
        *calls += 1;
        let key = (self.instance, *calls);
        core.pending.insert(key, pending);
    }
}

impl Core {
    fn carry_out(&mut self, pending: Pending, fate: Fate) {
        match pending {
            Pending::Read(req, reply) => {
                let answer = match fate {
                    Fate::Answer | Fate::Double => Ok(self.state.range(&req, now())),
                    _ => Err(StoreError::NoAnswer(lost())),
                };
                let _ = reply.send(answer);
            }
            Pending::Write(req, reply) => {
                let answer = self.write(req, fate);
                let _ = reply.send(answer);
            }
        }
    }

    fn write(&mut self, req: WriteRequest, fate: Fate) -> Result<WriteOutcome, StoreError> {
        match fate {
            Fate::Answer => Ok(outcome(self.state.write(req, now()))),
            Fate::LoseAnswer => {
                self.state.write(req, now());
                Ok(WriteOutcome::Unknown)
            }
            Fate::Delay => {
                self.late.push(req);
                Ok(WriteOutcome::Unknown)
            }
            Fate::Double => {
                let answer = self.state.write(req.clone(), now());
                self.late.push(req);
                Ok(outcome(answer))
            }
            Fate::Drop => Ok(WriteOutcome::Unknown),
            Fate::Refuse => Err(StoreError::Unavailable(CallError::Connect(address()))),
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
        self.push(Pending::Read(req, tx));
        let answer = timeout_at(deadline, rx).await;
        answer
            .ok()
            .and_then(Result::ok)
            .unwrap_or(Err(StoreError::NoAnswer(lost())))
    }

    async fn write(
        &self,
        _class: CallClass,
        req: WriteRequest,
        deadline: Instant,
    ) -> Result<WriteOutcome, StoreError> {
        let (tx, rx) = oneshot::channel();
        self.push(Pending::Write(req, tx));
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

fn lost() -> CallError {
    CallError::NoResponse(address())
}
