use super::StoreCounts;
use lycheeyard_protocol::{
    Timestamp,
    platform::{Expectation, KeyValue, RangeReply, RangeRequest, WriteReply, WriteRequest},
};
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
struct Stored {
    value: String,
    version: u64,
    expires_at: Option<Timestamp>,
}

/// The store's content, without any input or output.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    entries: BTreeMap<String, Stored>,
    version: u64,
    counts: StoreCounts,
}

impl StoreState {
    /// Reads the keys under a prefix.
    pub fn range(&mut self, req: &RangeRequest, now: Timestamp) -> RangeReply {
        self.counts.reads += 1;
        self.expire(now);
        self.read(req)
    }

    /// Reads what a watch answers; the watch itself was counted.
    pub fn watched(&mut self, req: &RangeRequest, now: Timestamp) -> RangeReply {
        self.expire(now);
        self.read(req)
    }

    /// Carries a conditional write out.
    pub fn write(&mut self, req: WriteRequest, now: Timestamp) -> WriteReply {
        self.counts.writes += 1;
        self.expire(now);
        let present = self.entries.get(&req.key);
        let expected = match req.expect {
            Expectation::Any => true,
            Expectation::Absent => present.is_none(),
            Expectation::Version(version) => present.is_some_and(|e| e.version == version),
        };
        if !expected {
            return WriteReply::Conflict(present.map(|e| key_value(&req.key, e)));
        }
        self.version += 1;
        match req.value {
            Some(value) => {
                let expires_at = req
                    .expires_in_ms
                    .map(|ms| now.after(Duration::from_millis(ms)));
                let stored = Stored {
                    value,
                    version: self.version,
                    expires_at,
                };
                self.entries.insert(req.key, stored);
            }
            None => {
                self.entries.remove(&req.key);
            }
        }
        WriteReply::Applied(self.version)
    }

    /// Whether a key under `prefix` is newer than `version`; deletions do not count.
    #[must_use]
    pub fn has_changes(&self, prefix: &str, version: u64) -> bool {
        self.under(prefix)
            .any(|(_, stored)| stored.version > version)
    }

    /// Counts a watch.
    pub fn count_watch(&mut self) {
        self.counts.watches += 1;
    }

    /// The calls answered until now.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.counts
    }

    fn read(&self, req: &RangeRequest) -> RangeReply {
        let after = req.after.as_deref();
        let entries = self
            .under(&req.prefix)
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .take(req.limit)
            .map(|(key, stored)| key_value(key, stored))
            .collect();
        RangeReply {
            entries,
            version: self.version,
        }
    }

    fn under<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a String, &'a Stored)> {
        self.entries
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    fn expire(&mut self, now: Timestamp) {
        self.entries
            .retain(|_, stored| stored.expires_at.is_none_or(|at| !at.is_past(now)));
    }
}

fn key_value(key: &str, stored: &Stored) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: stored.value.clone(),
        version: stored.version,
    }
}
