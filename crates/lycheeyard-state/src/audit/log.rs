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

const MAX_BATCH_ENTRIES: usize = 500;
const PAGE_BATCHES: usize = 200;
/// The maximum number of entries that one read returns.
const MAX_ENTRIES: usize = 5_000;
/// How far back a read without a lower bound goes.
const DEFAULT_SPAN_MS: u64 = 24 * 60 * 60 * 1000;
const RETENTION: Duration = Duration::from_secs(30 * 24 * 60 * 60);

/// Encoded entries and the key under which they are written.
#[derive(Clone, Debug)]
struct Batch {
    key: String,
    value: String,
}

/// The audit trail in the store: batches under `audit/{data centre}/`, ordered by the time of their last entry.
#[derive(Clone, Debug)]
pub struct AuditLog<S> {
    store: S,
    trail: AuditTrail,
    unwritten: Arc<Mutex<Option<Batch>>>,
}

impl<S: Store> AuditLog<S> {
    /// Creates a log that writes the entries of an instance's trail to the store.
    #[must_use]
    pub fn new(store: S, trail: AuditTrail) -> Self {
        Self {
            store,
            trail,
            unwritten: Arc::default(),
        }
    }

    /// Writes the waiting entries in order, one batch at a time. A batch whose write has an unknown outcome is
    /// written again under the same key, so that it is neither lost nor duplicated while this instance runs.
    ///
    /// # Errors
    /// Fails when the store does not accept a batch; the next call retries this batch first.
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

    /// Reads the entries of some data centres that match `filter`, oldest first, at most 5,000. Without a lower
    /// bound the read goes back 24 hours.
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
                limit: PAGE_BATCHES,
            };
            let reply = self.store.range(CallClass::Audit, req, deadline).await?;
            for entry in &reply.entries {
                let batch: Vec<AuditEntry> = decode(&entry.key, &entry.value)?;
                found.extend(batch.into_iter().filter(|entry| filter.matches(entry)));
            }
            match reply.entries.last() {
                Some(last) if reply.entries.len() == PAGE_BATCHES => after.clone_from(&last.key),
                _ => break,
            }
        }
        found.truncate(MAX_ENTRIES);
        Ok(())
    }

    fn next_batch(&self) -> Result<Option<Batch>, StateError> {
        let entries = self.trail.take(MAX_BATCH_ENTRIES);
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
            expires_in_ms: Some(u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX)),
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
