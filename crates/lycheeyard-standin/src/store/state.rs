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

/// The store's content, without input or output.
#[derive(Clone, Debug, Default)]
pub struct StoreState {
    entries: BTreeMap<String, Stored>,
    version: u64,
    counts: StoreCounts,
}

impl StoreState {
    /// Reads the entries under a prefix and counts the read.
    pub fn range(&mut self, req: &RangeRequest, now: Timestamp) -> RangeReply {
        self.counts.reads += 1;
        self.expire(now);
        self.read(req)
    }

    /// Reads the entries for the response to a watch; [`Self::count_watch`] has counted the watch already.
    pub fn read_for_watch(&mut self, req: &RangeRequest, now: Timestamp) -> RangeReply {
        self.expire(now);
        self.read(req)
    }

    /// Applies a conditional write, or returns the current entry if the condition does not hold.
    pub fn write(&mut self, req: WriteRequest, now: Timestamp) -> WriteReply {
        self.counts.writes += 1;
        self.expire(now);
        let current = self.entries.get(&req.key);
        let matches = match req.expect {
            Expectation::Any => true,
            Expectation::Absent => current.is_none(),
            Expectation::Version(version) => current.is_some_and(|e| e.version == version),
        };
        if !matches {
            return WriteReply::Conflict(current.map(|e| key_value(&req.key, e)));
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

    /// Whether a key under `prefix` was written after `version`; deletions are not considered.
    #[must_use]
    pub fn has_changes(&self, prefix: &str, version: u64) -> bool {
        self.under(prefix)
            .any(|(_, stored)| stored.version > version)
    }

    /// Counts one watch call.
    pub fn count_watch(&mut self) {
        self.counts.watches += 1;
    }

    /// The calls executed so far.
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
