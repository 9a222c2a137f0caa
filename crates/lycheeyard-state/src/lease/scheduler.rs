use super::{HeldLease, LeaseOutcome, observation::Observation, record::LeaseRecord};
use crate::{
    StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_clients::{CallClass, ResolvedWrite, Store};
use lycheeyard_protocol::{
    DataCentreId, Epoch, InstanceId, Timestamp,
    platform::{Expectation, KeyValue, WriteRequest},
};
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

const MAX_ATTEMPTS: usize = 4;

/// The scheduler lease of one data centre.
#[derive(Clone, Debug)]
pub struct SchedulerLease<S> {
    store: S,
    key: String,
    instance: InstanceId,
    duration: Duration,
    observed: Arc<Mutex<Option<Observation>>>,
}

/// How to proceed with a lease record that was read.
enum Decision {
    Write(Epoch, Expectation),
    Skip,
}

impl<S: Store> SchedulerLease<S> {
    /// Creates a client of the lease of `data_centre` for `instance`.
    #[must_use]
    pub fn new(
        store: S,
        data_centre: &DataCentreId,
        instance: InstanceId,
        duration: Duration,
    ) -> Self {
        Self {
            store,
            key: format!("schedulers/{data_centre}"),
            instance,
            duration,
            observed: Arc::default(),
        }
    }

    /// Acquires the lease if it is free or expired, or renews it if this instance holds it.
    ///
    /// The lease of another holder has expired once this client has read the same record for the duration of
    /// the lease.
    ///
    /// # Errors
    /// Fails when the store is unreachable or the outcome is unknown. A held lease then stays valid until its
    /// own deadline and no longer.
    pub async fn acquire(
        &self,
        held: Option<HeldLease>,
        deadline: Instant,
    ) -> Result<LeaseOutcome, StateError> {
        let read = self.store.get(CallClass::Lease, &self.key, deadline);
        let mut present = read.await?;
        for _ in 0..MAX_ATTEMPTS {
            let (epoch, expect) = match self.decide(present.as_ref(), held)? {
                Decision::Write(epoch, expect) => (epoch, expect),
                Decision::Skip => return Ok(LeaseOutcome::NotHeld),
            };
            let valid_until = Instant::now() + self.duration;
            match self.write(epoch, expect, deadline).await? {
                ResolvedWrite::Applied(_) => {
                    return Ok(LeaseOutcome::Held(HeldLease { epoch, valid_until }));
                }
                ResolvedWrite::Conflict(entry) | ResolvedWrite::Replaced(entry) => present = entry,
                ResolvedWrite::Unknown => return Err(StateError::Unknown),
            }
        }
        Err(StateError::Contended(self.key.clone()))
    }

    /// Resigns a held lease, so that another instance can acquire it at once.
    ///
    /// # Errors
    /// Fails when the store is unreachable; the lease then expires at its deadline.
    pub async fn resign(&self, held: HeldLease, deadline: Instant) -> Result<(), StateError> {
        let entry = self
            .store
            .get(CallClass::Lease, &self.key, deadline)
            .await?;
        let Some(entry) = entry else { return Ok(()) };
        let mut record: LeaseRecord = decode(&self.key, &entry.value)?;
        if record.holder != self.instance || record.epoch != held.epoch {
            return Ok(());
        }
        record.resign();
        record.nonce = make_nonce()?;
        let req = WriteRequest {
            key: self.key.clone(),
            value: Some(encode(&self.key, &record)?),
            expect: Expectation::Version(entry.version),
            expires_in_ms: None,
        };
        let written = self
            .store
            .write_until_resolved(CallClass::Lease, req, deadline);
        match written.await? {
            ResolvedWrite::Unknown => Err(StateError::Unknown),
            ResolvedWrite::Applied(_) | ResolvedWrite::Conflict(_) | ResolvedWrite::Replaced(_) => {
                Ok(())
            }
        }
    }

    fn decide(
        &self,
        present: Option<&KeyValue>,
        held: Option<HeldLease>,
    ) -> Result<Decision, StateError> {
        let Some(entry) = present else {
            return Ok(Decision::Write(Epoch(1), Expectation::Absent));
        };
        let record: LeaseRecord = decode(&self.key, &entry.value)?;
        let expect = Expectation::Version(entry.version);
        let is_own = record.holder == self.instance
            && held.is_some_and(|held| held.epoch == record.epoch)
            && !record.is_resigned();
        if is_own {
            return Ok(Decision::Write(record.epoch, expect));
        }
        if record.is_resigned() || self.has_expired(entry.version, &record) {
            return Ok(Decision::Write(record.epoch.next(), expect));
        }
        Ok(Decision::Skip)
    }

    fn has_expired(&self, version: u64, record: &LeaseRecord) -> bool {
        let now = Instant::now();
        let mut observed = self.observed.lock().unwrap_or_else(PoisonError::into_inner);
        let observation = Observation::of(*observed, version, record, now);
        *observed = Some(observation);
        observation.has_expired(now)
    }

    async fn write(
        &self,
        epoch: Epoch,
        expect: Expectation,
        deadline: Instant,
    ) -> Result<ResolvedWrite, StateError> {
        let now = Timestamp::now();
        let record = LeaseRecord {
            holder: self.instance.clone(),
            epoch,
            granted_at: now,
            expires_at: now.after(self.duration),
            nonce: make_nonce()?,
        };
        let req = WriteRequest {
            key: self.key.clone(),
            value: Some(encode(&self.key, &record)?),
            expect,
            expires_in_ms: None,
        };
        let written = self
            .store
            .write_until_resolved(CallClass::Lease, req, deadline);
        Ok(written.await?)
    }
}
