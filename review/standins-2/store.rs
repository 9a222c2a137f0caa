//! The platform's metadata store. It is sound: it loses nothing, refuses nothing and keeps its whole history.

use crate::{
    http::{Reply, Request, Service},
    json::{Json, from_base64, to_base64},
};
use std::{
    collections::BTreeMap,
    net::TcpStream,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

/// The largest number of items on a page.
const PAGE_ITEMS: usize = 500;
/// How long a connection stays open on which an answer was lost.
const LOST_CONNECTION_TIME: Duration = Duration::from_secs(30);
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes in their order: the key, its revision, and the item unless it was removed.
    history: Vec<(String, u64, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// As many of the next writes of this key are carried out and not answered.
    lost_writes: Mutex<Option<(String, u32)>>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(EXPIRY_INTERVAL);
                expiring.expire();
            }
        });
        store
    }

    /// Writes a key without a condition, as the operator and the runners do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    /// Loses the answers to the next `count` writes of a key. Their connections return nothing further.
    pub fn lose_answers_to_writes(&self, key: &str, count: u32) {
        let mut lost = self
            .lost_writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *lost = Some((key.to_owned(), count));
    }

    /// Whether the answer to this transaction gets lost.
    fn loses_answer(&self, body: &Json) -> bool {
        let mut lost = self
            .lost_writes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let Some((key, count)) = lost.as_mut().filter(|(_, count)| *count > 0) else {
            return false;
        };
        let writes = body.get("writes").list();
        let is_written = writes.iter().any(|row| row.get("key").text() == Some(key));
        *count -= u32::from(is_written);
        is_written
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.lock();
        let item = state.items.get(key)?;
        Some(String::from_utf8_lossy(&item.value).into_owned())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for lease in ended {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn range(&self, req: &Request) -> Reply {
        let state = self.lock();
        let prefix = req.query.get("pathPrefix").cloned().unwrap_or_default();
        let after = req.query.get("after").cloned().unwrap_or_default();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut page: Vec<Json> = items
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| item_message(key, item))
            .collect();
        let has_more = page.len() > PAGE_ITEMS;
        page.truncate(PAGE_ITEMS);
        answer(
            200,
            &Json::object([
                ("items", page.into()),
                ("hasMore", has_more.into()),
                ("storeRevision", state.revision.into()),
            ]),
        )
    }

    fn get(&self, req: &Request) -> Reply {
        let state = self.lock();
        let key = req.query.get("key").cloned().unwrap_or_default();
        match state.items.get(&key) {
            Some(item) => {
                let mut message = item_message(&key, item);
                if let Json::Object(fields) = &mut message {
                    fields.insert("storeRevision".to_owned(), state.revision.into());
                }
                answer(200, &message)
            }
            None => answer(
                404,
                &Json::object([("storeRevision", state.revision.into())]),
            ),
        }
    }

    fn watch(&self, req: &Request) -> Reply {
        let number = |name: &str| req.query.get(name).and_then(|text| text.parse().ok());
        let prefix = req.query.get("pathPrefix").cloned().unwrap_or_default();
        let after: u64 = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let events = state.events(&prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return answer(
                    200,
                    &Json::object([
                        ("events", events.into()),
                        ("storeRevision", state.revision.into()),
                    ]),
                );
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn transact(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        let expect = body.get("expect").list();
        let is_met = expect.iter().all(|row| {
            let item = state.items.get(row.get("key").text().unwrap_or(""));
            item.map_or(0, |item| item.revision) == row.get("revision").number().unwrap_or(0)
        });
        if !is_met {
            let keys = expect.iter().filter_map(|row| row.get("key").text());
            let items = keys.filter_map(|key| Some(item_message(key, state.items.get(key)?)));
            let items: Vec<Json> = items.collect();
            return answer(412, &Json::object([("items", items.into())]));
        }
        let writes = body.get("writes").list();
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        let mut leases = writes.iter().map(lease_of);
        if leases.any(|lease| lease > 0 && !state.leases.contains_key(&lease)) {
            return answer(404, &Json::object([]));
        }
        let removes = body.get("remove").list();
        if !writes.is_empty() || !removes.is_empty() {
            state.revision += 1;
        }
        for row in writes {
            let value = from_base64(row.get("value").text().unwrap_or(""));
            let key = row.get("key").text().unwrap_or("");
            state.write(key, value.unwrap_or_default(), lease_of(row));
        }
        for key in removes.iter().filter_map(Json::text) {
            state.remove(key);
        }
        self.changed.notify_all();
        answer(200, &Json::object([("revision", state.revision.into())]))
    }

    fn grant(&self, body: &Json) -> Reply {
        let mut state = self.lock();
        let ttl_ms = body.get("ttlMs").number().unwrap_or(1000);
        let ttl = Duration::from_millis(ttl_ms);
        state.next_lease += 1;
        let id = state.next_lease;
        let ends_at = Instant::now() + ttl;
        state.leases.insert(id, Lease { ttl, ends_at });
        answer(
            200,
            &Json::object([("lease", id.into()), ("ttlMs", ttl_ms.into())]),
        )
    }

    fn renew(&self, id: u64) -> Reply {
        let mut state = self.lock();
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends_at = Instant::now() + lease.ttl;
                let ttl_ms = u64::try_from(lease.ttl.as_millis()).unwrap_or(0);
                answer(
                    200,
                    &Json::object([("lease", id.into()), ("ttlMs", ttl_ms.into())]),
                )
            }
            None => answer(404, &Json::object([])),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((key.to_owned(), self.revision, None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Json> {
        let first = self
            .history
            .partition_point(|(_, revision, _)| *revision <= after);
        let changes = self.history[first..].iter();
        let changes = changes.filter(|(key, ..)| key.starts_with(prefix));
        let events = changes.map(|(key, revision, item)| match item {
            Some(item) => item_message(key, item),
            None => Json::object([
                ("key", key.as_str().into()),
                ("revision", (*revision).into()),
                ("deleted", true.into()),
            ]),
        });
        events.collect()
    }
}

impl Service for Store {
    fn answer(&self, req: &Request, _connection: &TcpStream) -> Reply {
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        let id = req.path.rsplit('/').next().and_then(|id| id.parse().ok());
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/kv-key") => self.get(req),
            ("GET", "/kv-range") => self.range(req),
            ("GET", "/kv-watch") => self.watch(req),
            ("POST", "/kv-txn") if self.loses_answer(&body) => {
                self.transact(&body);
                thread::sleep(LOST_CONNECTION_TIME);
                Reply::Close
            }
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => self.grant(&body),
            ("POST", path) if path.starts_with("/kv-keep/") => self.renew(id.unwrap_or(0)),
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(id.unwrap_or(0));
                self.changed.notify_all();
                answer(200, &Json::object([]))
            }
            _ => answer(400, &Json::object([])),
        }
    }
}

fn item_message(key: &str, item: &Item) -> Json {
    Json::object([
        ("key", key.into()),
        ("value", to_base64(&item.value).into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

fn answer(status: u16, message: &Json) -> Reply {
    Reply::Answer(status, message.to_string())
}
