use super::{AuditFilter, AuditTrail};
use crate::{
    StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::{
    AuditEntry, DataCentreId, Timestamp,
    platform::{Expectation, RangeRequest, WriteRequest},
};
use std::{sync::Arc, time::Duration};
use tokio::{sync::Mutex, time::Instant};

const MAX_BATCH: usize = 500;
const PAGE: usize = 200;
/// The most entries that one reading returns.
const MAX_ENTRIES: usize = 5_000;
/// How far back a reading without a lower bound goes.
const DEFAULT_SPAN_MS: u64 = 24 * 60 * 60 * 1000;
const KEEP_FOR: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// A batch that is being written under a key of its own.
#[derive(Clone, Debug)]
struct Batch {
    key: String,
    value: String,
}

/// The audit trail in the store: batches under `audit/{data centre}/`, in the order of their last entry.
#[derive(Clone, Debug)]
pub struct AuditLog<S> {
    store: S,
    trail: AuditTrail,
    unwritten: Arc<Mutex<Option<Batch>>>,
}

impl<S: Store> AuditLog<S> {
    /// Makes the log that takes an instance's trail to the store.
    #[must_use]
    pub fn new(store: S, trail: AuditTrail) -> Self {
        Self {
            store,
            trail,
            unwritten: Arc::default(),
        }
    }

    /// Writes what waits, a batch at a time and in order. A batch whose outcome is unknown is written
    /// again under its key, so that it is neither lost nor doubled while this instance lives.
    ///
    /// # Errors
    /// Fails when the store does not take a batch; it stays the next one.
    pub async fn flush(&self, deadline: Instant) -> Result<(), StateError> {
        let mut unwritten = self.unwritten.lock().await;
        loop {
            if unwritten.is_none() {
                *unwritten = self.next_batch()?;
            }
            let Some(batch) = unwritten.clone() else {
                return Ok(());
            };
            self.write(batch, deadline).await?;
            *unwritten = None;
        }
    }

    /// Reads the wanted entries of some data centres, oldest first, five thousand at most. Without a lower
    /// bound it goes back one day.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn read(
        &self,
        data_centres: &[DataCentreId],
        filter: &AuditFilter,
        deadline: Instant,
    ) -> Result<Vec<AuditEntry>, StateError> {
        let now = Timestamp::now().0;
        let after = filter
            .after
            .map_or(now.saturating_sub(DEFAULT_SPAN_MS), |at| at.0);
        let mut found = Vec::new();
        for data_centre in data_centres {
            let prefix = prefix(data_centre);
            let after = format!("{prefix}{after:015}");
            self.read_pages(prefix, after, filter, &mut found, deadline)
                .await?;
        }
        found.sort_by(|a, b| (a.at, &a.instance).cmp(&(b.at, &b.instance)));
        Ok(found)
    }

    async fn read_pages(
        &self,
        prefix: String,
        mut after: String,
        filter: &AuditFilter,
        found: &mut Vec<AuditEntry>,
        deadline: Instant,
    ) -> Result<(), StateError> {
        while found.len() < MAX_ENTRIES {
            let req = RangeRequest {
                prefix: prefix.clone(),
                after: Some(after.clone()),
                limit: PAGE,
            };
            let reply = self.store.range(CallClass::Audit, req, deadline).await?;
            for entry in &reply.entries {
                let batch: Vec<AuditEntry> = decode(&entry.key, &entry.value)?;
                found.extend(batch.into_iter().filter(|entry| filter.matches(entry)));
            }
            match reply.entries.last() {
                Some(last) if reply.entries.len() == PAGE => after.clone_from(&last.key),
                _ => break,
            }
        }
        found.truncate(MAX_ENTRIES);
        Ok(())
    }

    fn next_batch(&self) -> Result<Option<Batch>, StateError> {
        let entries = self.trail.take(MAX_BATCH);
        let Some(last) = entries.last() else {
            return Ok(None);
        };
        let prefix = prefix(&last.data_centre);
        let key = format!(
            "{prefix}{:015}-{}-{}",
            last.at.0,
            last.instance,
            make_nonce()?
        );
        let value = encode(&key, &entries)?;
        Ok(Some(Batch { key, value }))
    }

    async fn write(&self, batch: Batch, deadline: Instant) -> Result<(), StateError> {
        let req = WriteRequest {
            key: batch.key,
            value: Some(batch.value),
            expect: Expectation::Absent,
            expires_in_ms: Some(u64::try_from(KEEP_FOR.as_millis()).unwrap_or(u64::MAX)),
        };
        let written = self
            .store
            .write_until_resolved(CallClass::Audit, req, deadline);
        match written.await? {
            ResolvedWrite::Unknown => Err(StateError::Unknown),
            ResolvedWrite::Applied(_) | ResolvedWrite::Conflict(_) | ResolvedWrite::Replaced(_) => {
                Ok(())
            }
        }
    }
}

fn prefix(data_centre: &DataCentreId) -> String {
    format!("audit/{data_centre}/")
}
