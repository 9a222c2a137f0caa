use super::{HeldLease, LeaseStep};
use crate::{
    StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_platform::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{
    DataCentreId, Epoch, InstanceId, Nonce, Timestamp, platform::Expectation,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Added to another holder's deadline before it is taken over, for the error of two clocks.
const CLOCK_ERROR: Duration = Duration::from_millis(500);

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct LeaseRecord {
    holder: InstanceId,
    epoch: Epoch,
    expires_at: Timestamp,
    nonce: Nonce,
}

/// The scheduler lease of one data centre.
#[derive(Clone, Debug)]
pub struct SchedulerLease<S> {
    store: S,
    key: String,
    instance: InstanceId,
    duration: Duration,
}

impl<S: Store> SchedulerLease<S> {
    /// Makes a client of the lease of `data_centre` for `instance`.
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
        }
    }

    /// Takes the lease if it is free or expired, or renews it if this instance holds it.
    ///
    /// # Errors
    /// Fails when the store is out of reach; a held lease stays valid until its own deadline.
    pub async fn acquire(
        &self,
        held: Option<HeldLease>,
        deadline: Instant,
    ) -> Result<LeaseStep, StateError> {
        let sent_at = Instant::now();
        let now = Timestamp::now();
        let entry = self
            .store
            .get(CallClass::Lease, &self.key, deadline)
            .await?;
        let (epoch, expect) = match entry {
            None => (Epoch(1), Expectation::Absent),
            Some(entry) => {
                let record: LeaseRecord = decode(&self.key, &entry.value)?;
                let expect = Expectation::Version(entry.version);
                match self.next_epoch(&record, held, now) {
                    Some(epoch) => (epoch, expect),
                    None => return Ok(LeaseStep::NotHeld),
                }
            }
        };
        self.write(epoch, expect, now, sent_at, deadline).await
    }

    /// Gives a held lease up, so that another instance can take it at once.
    ///
    /// # Errors
    /// Fails when the store is out of reach; the lease then lapses by itself.
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
        record.expires_at = Timestamp(0);
        let value = encode(&self.key, &record)?;
        let expect = Expectation::Version(entry.version);
        self.store
            .put(CallClass::Lease, self.key.clone(), value, expect, deadline)
            .await?;
        Ok(())
    }

    fn next_epoch(
        &self,
        record: &LeaseRecord,
        held: Option<HeldLease>,
        now: Timestamp,
    ) -> Option<Epoch> {
        let mine =
            record.holder == self.instance && held.is_some_and(|held| held.epoch == record.epoch);
        if mine {
            return Some(record.epoch);
        }
        let free_at = record.expires_at.after(CLOCK_ERROR);
        (record.expires_at == Timestamp(0) || free_at.is_past(now)).then(|| record.epoch.next())
    }

    async fn write(
        &self,
        epoch: Epoch,
        expect: Expectation,
        now: Timestamp,
        sent_at: Instant,
        deadline: Instant,
    ) -> Result<LeaseStep, StateError> {
        let record = LeaseRecord {
            holder: self.instance.clone(),
            epoch,
            expires_at: now.after(self.duration),
            nonce: make_nonce()?,
        };
        let value = encode(&self.key, &record)?;
        let written = self
            .store
            .put(CallClass::Lease, self.key.clone(), value, expect, deadline)
            .await?;
        let held = HeldLease {
            epoch,
            valid_until: sent_at + self.duration,
        };
        match written {
            WriteOutcome::Applied(_) => Ok(LeaseStep::Held(held)),
            WriteOutcome::Conflict(_) => Ok(LeaseStep::NotHeld),
            WriteOutcome::Unknown => self.read_back(&record, held, deadline).await,
        }
    }

    async fn read_back(
        &self,
        written: &LeaseRecord,
        held: HeldLease,
        deadline: Instant,
    ) -> Result<LeaseStep, StateError> {
        let entry = self
            .store
            .get(CallClass::Lease, &self.key, deadline)
            .await?;
        let Some(entry) = entry else {
            return Ok(LeaseStep::NotHeld);
        };
        let present: LeaseRecord = decode(&self.key, &entry.value)?;
        if present == *written {
            Ok(LeaseStep::Held(held))
        } else {
            Ok(LeaseStep::NotHeld)
        }
    }
}
