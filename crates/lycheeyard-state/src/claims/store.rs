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

const MAX_ATTEMPTS: usize = 3;

/// Makes, reads and completes the claims of non-idempotent requests in the store.
#[derive(Clone, Debug)]
pub struct ClaimStore<S> {
    store: S,
    instance: InstanceId,
    retention: Duration,
}

impl<S: Store> ClaimStore<S> {
    /// The time for which the store keeps a claim after its last write.
    pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

    /// Creates a client for the claims of `instance`.
    #[must_use]
    pub fn new(store: S, instance: InstanceId) -> Self {
        Self {
            store,
            instance,
            retention: Self::RETENTION,
        }
    }

    /// The store key of a claim.
    #[must_use]
    pub fn key(organisation: &OrganisationId, key: &IdempotencyKey) -> String {
        format!("claims/{organisation}/{key}")
    }

    /// Creates the record of a new claim; it is not written yet.
    ///
    /// # Errors
    /// Fails only when no nonce can be generated.
    pub fn prepare(&self, digest: Digest) -> Result<ClaimRecord, StateError> {
        Ok(ClaimRecord {
            digest,
            nonce: make_nonce()?,
            claimed_by: self.instance.clone(),
            claimed_at: Timestamp::now(),
            state: ClaimState::Claimed,
        })
    }

    /// Claims a key that has no claim.
    ///
    /// # Errors
    /// Fails when the store is unreachable; the claim then does not exist and cannot appear later.
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
    /// Fails when the store is unreachable; the claim is then not replaced and cannot be replaced later.
    pub async fn replace(
        &self,
        existing: &ExistingClaim,
        record: &ClaimRecord,
        deadline: Instant,
    ) -> Result<ClaimOutcome, StateError> {
        let expect = Expectation::Version(existing.version);
        self.claim(&existing.key, record, expect, deadline).await
    }

    /// Reads a claim.
    ///
    /// # Errors
    /// Fails when the store is unreachable.
    pub async fn read(
        &self,
        key: &str,
        deadline: Instant,
    ) -> Result<Option<ExistingClaim>, StateError> {
        let entry = self.store.get(CallClass::Claim, key, deadline).await?;
        entry.map(decode_claim).transpose()
    }

    /// Writes the final state of a held claim. Returns `true` only if the store is confirmed to hold that state.
    ///
    /// # Errors
    /// Fails when the store is unreachable or the record at the key cannot be read.
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
            WriteOutcome::Conflict(Some(entry)) => Ok(decode_claim(entry)?.record == record),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => Ok(false),
        }
    }

    /// Marks a claim as abandoned if it has appeared in the store. Returns `true` when no further attempt is
    /// needed.
    ///
    /// # Errors
    /// Fails when the store is unreachable.
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
        for _ in 0..MAX_ATTEMPTS {
            match self.write(key, record, expect, deadline).await? {
                WriteOutcome::Applied(version) => return Ok(held(key, record, version)),
                WriteOutcome::Conflict(Some(entry)) => return resolve_conflict(record, entry),
                WriteOutcome::Conflict(None) if expect == Expectation::Absent => {}
                WriteOutcome::Conflict(None) => break,
                WriteOutcome::Unknown => {
                    return Ok(self.read_back(key, record, expect, deadline).await);
                }
            }
        }
        Err(StateError::Contended(key.to_owned()))
    }

    /// Reads the key to determine the outcome of an unanswered write. A write that has not taken effect may
    /// still do so, unless the key has since changed so that the write's expectation cannot hold.
    async fn read_back(
        &self,
        key: &str,
        record: &ClaimRecord,
        expect: Expectation,
        deadline: Instant,
    ) -> ClaimOutcome {
        match self.store.get(CallClass::Claim, key, deadline).await {
            Ok(Some(entry)) if expect != Expectation::Version(entry.version) => {
                resolve_conflict(record, entry).unwrap_or(ClaimOutcome::Unconfirmed)
            }
            _ => ClaimOutcome::Unconfirmed,
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

fn resolve_conflict(record: &ClaimRecord, entry: KeyValue) -> Result<ClaimOutcome, StateError> {
    let existing = decode_claim(entry)?;
    if existing.record.nonce == record.nonce {
        return Ok(held(&existing.key, record, existing.version));
    }
    Ok(ClaimOutcome::Existing(existing))
}

fn decode_claim(entry: KeyValue) -> Result<ExistingClaim, StateError> {
    Ok(ExistingClaim {
        record: decode(&entry.key, &entry.value)?,
        version: entry.version,
        key: entry.key,
    })
}
