use super::{ClaimOutcome, ClaimRecord, ClaimState, ExistingClaim, HeldClaim};
use crate::{
    StateError,
    error::{decode, encode},
    make_nonce,
};
use lycheeyard_clients::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{
    Digest, IdempotencyKey, InstanceId, Nonce, OrganisationId, Timestamp,
    platform::{Expectation, KeyValue, WriteRequest},
};
use std::time::Duration;
use tokio::time::Instant;

const MAX_RACES: usize = 3;

/// Claims of non-idempotent requests in the store.
#[derive(Clone, Debug)]
pub struct ClaimStore<S> {
    store: S,
    instance: InstanceId,
    retention: Duration,
}

impl<S: Store> ClaimStore<S> {
    /// How long a key is remembered.
    pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

    /// Makes a client for the claims of `instance`.
    #[must_use]
    pub fn new(store: S, instance: InstanceId) -> Self {
        Self {
            store,
            instance,
            retention: Self::RETENTION,
        }
    }

    /// The place of a claim in the store.
    #[must_use]
    pub fn key(organisation: &OrganisationId, key: &IdempotencyKey) -> String {
        format!("claims/{organisation}/{key}")
    }

    /// Makes a record of a new claim.
    ///
    /// # Errors
    /// Fails only when no nonce can be made.
    pub fn prepare(&self, digest: Digest) -> Result<ClaimRecord, StateError> {
        Ok(ClaimRecord {
            digest,
            nonce: make_nonce()?,
            claimed_by: self.instance.clone(),
            claimed_at: Timestamp::now(),
            state: ClaimState::Claimed,
        })
    }

    /// Claims a key that nobody has claimed.
    ///
    /// # Errors
    /// Fails when the store is out of reach; the claim then certainly does not exist.
    pub async fn create(
        &self,
        key: &str,
        record: &ClaimRecord,
        deadline: Instant,
    ) -> Result<ClaimOutcome, StateError> {
        self.claim(key, record, Expectation::Absent, deadline).await
    }

    /// Replaces a claim that was abandoned.
    ///
    /// # Errors
    /// Fails when the store is out of reach; the claim then certainly was not replaced.
    pub async fn replace(
        &self,
        present: &ExistingClaim,
        record: &ClaimRecord,
        deadline: Instant,
    ) -> Result<ClaimOutcome, StateError> {
        let expect = Expectation::Version(present.version);
        self.claim(&present.key, record, expect, deadline).await
    }

    /// Reads a claim.
    ///
    /// # Errors
    /// Fails when the store is out of reach.
    pub async fn read(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<ExistingClaim>, StateError> {
        let entry = self.store.get(CallClass::Claim, key, deadline).await?;
        entry.map(present).transpose()
    }

    /// Writes what has come of a held claim; false when that is not certain.
    ///
    /// # Errors
    /// Fails when the store is out of reach or the claim is no longer as it was.
    pub async fn finish(
        &self,
        held: &HeldClaim,
        state: ClaimState,
        deadline: Instant,
    ) -> Result<bool, StateError> {
        let mut record = held.record.clone();
        record.state = state;
        let expect = Expectation::Version(held.version);
        match self.write(&held.key, &record, expect, deadline).await? {
            WriteOutcome::Applied(_) => Ok(true),
            WriteOutcome::Conflict(Some(entry)) => Ok(present(entry)?.record == record),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => Ok(false),
        }
    }

    /// Marks a claim as abandoned if it has appeared in the store; true when it needs no more looking for.
    ///
    /// # Errors
    /// Fails when the store is out of reach.
    pub async fn mark_abandoned(
        &self,
        key: &str,
        nonce: &Nonce,
        deadline: Instant,
    ) -> Result<bool, StateError> {
        let Some(found) = self.read(key, deadline).await? else {
            return Ok(false);
        };
        if found.record.nonce != *nonce || found.record.state != ClaimState::Claimed {
            return Ok(true);
        }
        let held = HeldClaim {
            key: found.key,
            record: found.record,
            version: found.version,
        };
        self.finish(&held, ClaimState::Abandoned, deadline).await
    }

    async fn claim(
        &self,
        key: &str,
        record: &ClaimRecord,
        expect: Expectation,
        deadline: Instant,
    ) -> Result<ClaimOutcome, StateError> {
        for _ in 0..MAX_RACES {
            match self.write(key, record, expect, deadline).await? {
                WriteOutcome::Applied(version) => return Ok(held(key, record, version)),
                WriteOutcome::Conflict(Some(entry)) => return seen(record, entry),
                WriteOutcome::Conflict(None) if expect == Expectation::Absent => {}
                WriteOutcome::Conflict(None) => break,
                WriteOutcome::Unknown => {
                    return Ok(self.read_back(key, record, expect, deadline).await);
                }
            }
        }
        Err(StateError::Contended(key.to_owned()))
    }

    /// Reads what an unanswered write came to. A write that has not taken effect may still do so, unless the key
    /// has changed in a way that its expectation excludes.
    async fn read_back(
        &self,
        key: &str,
        record: &ClaimRecord,
        expect: Expectation,
        deadline: Instant,
    ) -> ClaimOutcome {
        match self.store.get(CallClass::Claim, key, deadline).await {
            Ok(Some(entry)) if expect != Expectation::Version(entry.version) => {
                seen(record, entry).unwrap_or(ClaimOutcome::Unresolved)
            }
            _ => ClaimOutcome::Unresolved,
        }
    }

    async fn write(
        &self,
        key: &str,
        record: &ClaimRecord,
        expect: Expectation,
        deadline: Instant,
    ) -> Result<WriteOutcome, StateError> {
        let req = WriteRequest {
            key: key.to_owned(),
            value: Some(encode(key, record)?),
            expect,
            expires_in_ms: Some(u64::try_from(self.retention.as_millis()).unwrap_or(u64::MAX)),
        };
        Ok(self.store.write(CallClass::Claim, req, deadline).await?)
    }
}

fn held(key: &str, record: &ClaimRecord, version: u64) -> ClaimOutcome {
    ClaimOutcome::Held(HeldClaim {
        key: key.to_owned(),
        record: record.clone(),
        version,
    })
}

fn seen(record: &ClaimRecord, entry: KeyValue) -> Result<ClaimOutcome, StateError> {
    let present = present(entry)?;
    if present.record.nonce == record.nonce {
        return Ok(held(&present.key, record, present.version));
    }
    Ok(ClaimOutcome::Existing(present))
}

fn present(entry: KeyValue) -> Result<ExistingClaim, StateError> {
    Ok(ExistingClaim {
        record: decode(&entry.key, &entry.value)?,
        version: entry.version,
        key: entry.key,
    })
}
