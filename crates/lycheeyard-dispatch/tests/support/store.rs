use super::{clock::block_for, link::Link, read_limit::ReadLimit};
use lycheeyard_clients::CallError;
use lycheeyard_dispatch::{
    CommitOutcome, GetResponse, Item, KeyValueStore, KvError, LeaseId, Page, Renewal,
    StoreRevision, Transaction, WatchResponse, WriteRejection,
};
use lycheeyard_standin::StoreData;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout_at},
};

const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE_SIZE: usize = 50;
const MAX_VALUE_BYTES: usize = 1 << 20;
const REFUSED_STATUS: u16 = 503;
const OVER_RATE_STATUS: u16 = 429;

/// One instance's connection to an in-memory store that all instances share.
#[derive(Clone, Debug)]
pub struct FakeStore {
    data: Arc<Mutex<StoreData>>,
    changed: watch::Sender<u64>,
    calls: Arc<Mutex<usize>>,
    values_read: Arc<Mutex<usize>>,
    /// The exact reads of one key by all instances.
    gets: Arc<Mutex<usize>>,
    read_limit: Arc<Mutex<ReadLimit>>,
    /// What reads that may be old see, if that is not the present state.
    stale_items: Arc<Mutex<Option<Vec<Item>>>>,
    /// Whether the leases do not expire.
    are_leases_paused: Arc<AtomicBool>,
    /// The largest value that the store takes, in bytes.
    max_value_bytes: Arc<AtomicUsize>,
    pub link: Link,
}

impl Default for FakeStore {
    fn default() -> Self {
        let (changed, _) = watch::channel(0);
        Self {
            data: Arc::default(),
            changed,
            calls: Arc::default(),
            values_read: Arc::default(),
            gets: Arc::default(),
            read_limit: Arc::default(),
            stale_items: Arc::default(),
            are_leases_paused: Arc::default(),
            max_value_bytes: Arc::new(AtomicUsize::new(MAX_VALUE_BYTES)),
            link: Link::default(),
        }
    }
}

impl FakeStore {
    /// Creates a connection for another instance to the same store.
    pub fn connect(&self) -> Self {
        Self {
            link: Link::default(),
            ..self.clone()
        }
    }

    /// Returns the number of calls of all instances.
    pub fn calls(&self) -> usize {
        *self.calls.lock().expect("lock is not poisoned")
    }

    /// Returns the number of exact reads of one key by all instances, also of those that failed.
    pub fn gets(&self) -> usize {
        *self.gets.lock().expect("lock is not poisoned")
    }

    /// Refuses the exact reads of one key beyond this number a second of all instances.
    pub fn limit_gets(&self, per_s: usize) {
        self.read_limit
            .lock()
            .expect("lock is not poisoned")
            .set(per_s);
    }

    /// Lets reads that may be old see the present state from now on, whatever changes.
    pub fn hold_stale_reads(&self) {
        let mut stale = self.stale_items.lock().expect("lock is not poisoned");
        *stale = Some(self.lock().items_under(""));
    }

    /// Returns the number of values that calls for one key have transferred to all instances.
    pub fn values_read(&self) -> usize {
        *self.values_read.lock().expect("lock is not poisoned")
    }

    pub fn put(&self, key: &str, value: &[u8]) {
        self.lock().put(key, value);
        self.notify_watches();
    }

    pub fn item(&self, key: &str) -> Option<Item> {
        self.lock().get(key)
    }

    pub fn items(&self, prefix: &str) -> Vec<Item> {
        self.lock().items_under(prefix)
    }

    /// Lets the store take only smaller values from now on.
    pub fn limit_values(&self, max_bytes: usize) {
        self.max_value_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Hides changes from watches, which answer as if there were none.
    pub fn suppress_watch_events(&self) {
        self.lock().drops_watch_events = true;
    }

    /// Lets watches see changes again; the history with the hidden changes is dropped.
    pub fn resume_watch_events(&self) {
        self.lock().drops_watch_events = false;
        self.compact_history();
    }

    /// Pauses all leases, as a store that is down may do.
    pub fn pause_leases(&self) {
        self.are_leases_paused.store(true, Ordering::Relaxed);
    }

    /// Compacts the whole history; waiting watches are answered.
    pub fn compact_history(&self) {
        self.lock().compact_history();
        self.notify_watches();
    }

    fn allows_read(&self) -> bool {
        let mut limit = self.read_limit.lock().expect("lock is not poisoned");
        limit.allows_read()
    }

    fn lock(&self) -> MutexGuard<'_, StoreData> {
        let mut data = self.data.lock().expect("lock is not poisoned");
        if !self.are_leases_paused.load(Ordering::Relaxed) {
            data.expire_leases();
        }
        data
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn no_answer() -> KvError {
        KvError::NoAnswer(CallError::NoResponse(SocketAddr::from(([127, 0, 0, 1], 1))))
    }

    /// Delays a call by the answer time, or fails it according to the faults of the link.
    async fn call(&self, deadline: Instant) -> Result<(), KvError> {
        *self.calls.lock().expect("lock is not poisoned") += 1;
        self.link.wait_until_unfrozen().await;
        let state = self.link.state();
        block_for(state.call_cost);
        if state.store_silent {
            sleep_until(deadline).await;
            return Err(Self::no_answer());
        }
        sleep(ANSWER_TIME + state.answer_time).await;
        if state.store_refuses {
            return Err(KvError::Refused(REFUSED_STATUS));
        }
        Ok(())
    }
}

impl KeyValueStore for FakeStore {
    async fn get(&self, key: &str, deadline: Instant) -> Result<GetResponse, KvError> {
        *self.gets.lock().expect("lock is not poisoned") += 1;
        self.call(deadline).await?;
        if !self.allows_read() {
            return Err(KvError::Refused(OVER_RATE_STATUS));
        }
        let response = {
            let data = self.lock();
            GetResponse {
                item: data.get(key),
                revision: StoreRevision(data.revision),
            }
        };
        self.link.wait_until_unfrozen().await;
        if response.item.is_some() {
            *self.values_read.lock().expect("lock is not poisoned") += 1;
            sleep(self.link.state().value_time).await;
        }
        Ok(response)
    }

    async fn get_stale(&self, key: &str, deadline: Instant) -> Result<Option<Item>, KvError> {
        self.call(deadline).await?;
        let stale = self.stale_items.lock().expect("lock is not poisoned");
        Ok(match stale.as_ref() {
            Some(items) => items.iter().find(|item| item.key == key).cloned(),
            None => self.lock().get(key),
        })
    }

    async fn range(
        &self,
        prefix: &str,
        after: Option<&str>,
        deadline: Instant,
    ) -> Result<Page, KvError> {
        self.call(deadline).await?;
        if self.link.loses_page() {
            sleep_until(deadline).await;
            return Err(Self::no_answer());
        }
        sleep(self.link.state().page_time).await;
        let data = self.lock();
        let mut items = data.items_under(prefix);
        items.retain(|item| after.is_none_or(|after| item.key.as_str() > after));
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        Ok(Page {
            items,
            has_more,
            revision: StoreRevision(data.revision),
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        deadline: Instant,
    ) -> Result<WatchResponse, KvError> {
        self.call(deadline).await?;
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let data = self.lock();
                if after.0 < data.compacted {
                    return Ok(WatchResponse::Compacted);
                }
                let events = data.events(prefix, after);
                let revision = StoreRevision(data.revision);
                if !events.is_empty() || until <= Instant::now() {
                    return Ok(WatchResponse::Changes(events, revision));
                }
            }
            // Leases may expire without a write.
            let next_check = until.min(Instant::now() + Duration::from_millis(20));
            let _ = timeout_at(next_check, changed.changed()).await;
            if self.link.state().store_silent {
                sleep_until(deadline).await;
                return Err(Self::no_answer());
            }
        }
    }

    async fn commit(
        &self,
        transaction: &Transaction,
        deadline: Instant,
    ) -> Result<CommitOutcome, KvError> {
        if let Err(err) = self.call(deadline).await {
            // An unanswered commit may have been applied.
            return match err {
                KvError::NoAnswer(_) => Ok(CommitOutcome::Unknown),
                KvError::Refused(_) | KvError::Rejected(_) | KvError::Late => Err(err),
            };
        }
        let max_bytes = self.max_value_bytes.load(Ordering::Relaxed);
        let bytes = transaction.max_value_bytes();
        if bytes > max_bytes {
            let rejection = WriteRejection::ValueTooLarge { bytes, max_bytes };
            return Err(KvError::Rejected(rejection));
        }
        let state = self.link.state();
        let sent_at = Instant::now() + send_time(transaction, state.byte_time);
        sleep_until(sent_at.min(deadline)).await;
        if sent_at > deadline {
            return Ok(CommitOutcome::Unknown);
        }
        if let Some(delay) = state.write_delay {
            let store = self.clone();
            let transaction = transaction.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                store.lock().commit(&transaction);
                store.notify_watches();
            });
            sleep_until(deadline).await;
            return Ok(CommitOutcome::Unknown);
        }
        let outcome = self.lock().commit(transaction);
        self.notify_watches();
        if state.answers_lost {
            sleep_until(deadline).await;
            return Ok(CommitOutcome::Unknown);
        }
        self.link.wait_until_unfrozen().await;
        Ok(outcome)
    }

    async fn grant_lease(
        &self,
        ttl: Duration,
        deadline: Instant,
    ) -> Result<(LeaseId, Duration), KvError> {
        self.call(deadline).await?;
        let lease = self.lock().grant(ttl);
        self.link.wait_until_unfrozen().await;
        Ok((lease, ttl))
    }

    async fn renew_lease(&self, lease: LeaseId, deadline: Instant) -> Result<Renewal, KvError> {
        self.call(deadline).await?;
        let renewed = self.lock().renew(lease);
        self.link.wait_until_unfrozen().await;
        Ok(renewed.map_or(Renewal::Ended, Renewal::Renewed))
    }

    async fn revoke_lease(&self, lease: LeaseId, deadline: Instant) -> Result<(), KvError> {
        self.call(deadline).await?;
        self.lock().revoke_lease(lease);
        self.notify_watches();
        Ok(())
    }
}

fn send_time(transaction: &Transaction, byte_time: Duration) -> Duration {
    byte_time * u32::try_from(transaction.value_bytes()).expect("size fits u32")
}
