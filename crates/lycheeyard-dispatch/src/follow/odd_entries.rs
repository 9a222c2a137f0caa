use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;
use tracing::warn;

/// The minimum time between two log lines about one entry.
const LOG_INTERVAL: Duration = Duration::from_secs(60);
/// The maximum number of entries that are remembered. Further ones are passed over without a log line.
const MAX_ENTRIES: usize = 1000;
/// The maximum length of a logged reason, in characters; it may quote the entry.
const MAX_REASON_CHARS: usize = 200;

/// The entries under a prefix that could not be read. Each is logged once, and not with each read of the same value or each time that
/// it is written again.
#[derive(Debug)]
pub(crate) struct OddEntries {
    /// What is followed, for log lines.
    name: &'static str,
    entries: BTreeMap<String, OddEntry>,
}

#[derive(Debug)]
struct OddEntry {
    /// Why it could not be read when it was logged; `None` once it was readable since.
    reason: Option<String>,
    logged_at: Instant,
}

impl OddEntries {
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            entries: BTreeMap::new(),
        }
    }

    /// Returns what was read from an entry, or logs why it could not be read.
    pub fn check<T, E: ToString>(&mut self, key: &str, read: Result<T, E>) -> Option<T> {
        match read {
            Ok(value) => {
                self.note_readable(key);
                Some(value)
            }
            Err(err) => {
                self.note_odd(key, &err.to_string());
                None
            }
        }
    }

    fn note_readable(&mut self, key: &str) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.reason = None;
        }
    }

    fn note_odd(&mut self, key: &str, reason: &str) {
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let now = Instant::now();
        if !self.is_due(key, &reason, now) {
            return;
        }
        warn!(%key, reason, "{}: an entry cannot be read; it is passed over", self.name);
        let entry = OddEntry {
            reason: Some(reason),
            logged_at: now,
        };
        self.entries.insert(key.to_owned(), entry);
    }

    /// Whether a log line is due.
    fn is_due(&mut self, key: &str, reason: &str, now: Instant) -> bool {
        let is_recent = |entry: &OddEntry| now.duration_since(entry.logged_at) < LOG_INTERVAL;
        if let Some(entry) = self.entries.get(key) {
            return entry.reason.as_deref() != Some(reason) && !is_recent(entry);
        }
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.retain(|_, entry| is_recent(entry));
        }
        self.entries.len() < MAX_ENTRIES
    }
}
