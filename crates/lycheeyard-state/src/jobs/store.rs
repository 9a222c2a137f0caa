use super::{JobChanges, SaveOutcome, StoredJob, SubmitOutcome, stored::decode_job};
use crate::{StateError, error::encode};
use lycheeyard_clients::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{
    DataCentreId, JobId, JobRecord, JobSpec, OrganisationId, Timestamp,
    platform::{Expectation, KeyValue, RangeRequest, WatchRequest, WriteRequest},
};
use std::time::Duration;
use tokio::time::Instant;

/// The time for which the record of an ended job is kept.
pub const FINAL_RETENTION: Duration = Duration::from_secs(24 * 3600);

const FINAL_RETENTION_MS: u64 = 24 * 3600 * 1000;
const PAGE_RECORDS: usize = 1000;
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(400);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Stores job records, each under its own key.
#[derive(Clone, Debug)]
pub struct JobStore<S> {
    store: S,
}

impl<S: Store> JobStore<S> {
    /// Creates a job store on the platform's store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Makes a job durable. First writes the job's home key, which fixes the data centre, then the record.
    ///
    /// # Errors
    /// Fails when the store is unreachable, or with [`StateError::Unknown`] when a write may have taken effect.
    /// Submitting the same job again then completes the submission.
    pub async fn submit(
        &self,
        spec: &JobSpec,
        now: Timestamp,
        deadline: Instant,
    ) -> Result<SubmitOutcome, StateError> {
        let home = home_key(&spec.organisation, &spec.job);
        let home_value = spec.data_centre.to_string();
        let created = self.create(home, home_value, deadline).await?;
        let data_centre = match created {
            Creation::Present(present) => decode_home(&present)?,
            Creation::New(_) => spec.data_centre.clone(),
        };
        if data_centre != spec.data_centre {
            let stored = self.get(&spec.organisation, &spec.job, deadline).await?;
            return stored
                .map(SubmitOutcome::NameTaken)
                .ok_or(StateError::Unknown);
        }
        let key = job_key(&data_centre, &spec.organisation, &spec.job);
        let record = JobRecord::submitted(spec.clone(), now);
        let value = encode(&key, &record)?;
        match self.create(key.clone(), value, deadline).await? {
            Creation::New(version) => Ok(SubmitOutcome::Created(StoredJob { record, version })),
            Creation::Present(present) => {
                let stored = decode_job(&present)?;
                if stored.record.spec == *spec {
                    Ok(SubmitOutcome::Existing(stored))
                } else {
                    Ok(SubmitOutcome::NameTaken(stored))
                }
            }
        }
    }

    /// Reads a job of any data centre; its home key names the data centre.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn get(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
        deadline: Instant,
    ) -> Result<Option<StoredJob>, StateError> {
        let home = home_key(organisation, job);
        let Some(entry) = self.store.get(CallClass::Job, &home, deadline).await? else {
            return Ok(None);
        };
        let data_centre = decode_home(&entry)?;
        self.read(&job_key(&data_centre, organisation, job), deadline)
            .await
    }

    /// Reads every job of a data centre.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn list(
        &self,
        data_centre: &DataCentreId,
        deadline: Instant,
    ) -> Result<JobChanges, StateError> {
        let mut all = JobChanges::default();
        let mut version = None;
        let mut after = None;
        loop {
            let req = RangeRequest {
                prefix: jobs_prefix(data_centre),
                after,
                limit: PAGE_RECORDS,
            };
            let reply = self.store.range(CallClass::Job, req, deadline).await?;
            let is_full = reply.entries.len() == PAGE_RECORDS;
            after = reply.entries.last().map(|entry| entry.key.clone());
            // A record of an earlier page may change while later pages are read. A watch from the
            // version of the first page returns such changes.
            all.version = *version.get_or_insert(reply.version);
            all.extend(JobChanges::decode(&reply));
            if !is_full {
                return Ok(all);
            }
        }
    }

    /// Replaces a record if it has not changed since it was read.
    ///
    /// After a lost answer the same write is sent again. Both writes name the same version, so at most one of
    /// them takes effect, and a stored record equal to `record` shows that one did.
    /// Records in a final state expire after [`FINAL_RETENTION`].
    ///
    /// # Errors
    /// Fails when the store is unreachable and the record is unchanged, or with [`StateError::Unknown`] when the
    /// write may have taken effect. Repeating the call then resolves it.
    pub async fn save(
        &self,
        stored: &StoredJob,
        record: JobRecord,
        deadline: Instant,
    ) -> Result<SaveOutcome, StateError> {
        let spec = &record.spec;
        let key = job_key(&spec.data_centre, &spec.organisation, &spec.job);
        let req = WriteRequest {
            value: Some(encode(&key, &record)?),
            expect: Expectation::Version(stored.version),
            expires_in_ms: record.state.is_final().then_some(FINAL_RETENTION_MS),
            key,
        };
        let mut is_unresolved = false;
        while Instant::now() < deadline {
            let limit = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
            match self.store.write(CallClass::Job, req.clone(), limit).await {
                Ok(WriteOutcome::Applied(version)) => {
                    return Ok(SaveOutcome::Saved(StoredJob { record, version }));
                }
                Ok(WriteOutcome::Conflict(present)) => {
                    return compare_with_stored(present.as_ref(), &record);
                }
                Ok(WriteOutcome::Unknown) => is_unresolved = true,
                Err(err) if is_unresolved => {
                    tracing::debug!("jobs: outcome of a record write is unknown; retrying: {err}");
                }
                Err(err) => return Err(err.into()),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(StateError::Unknown)
    }

    /// Waits up to `wait` for records of a data centre that are newer than `after_version`.
    ///
    /// # Errors
    /// Fails when the store does not answer.
    pub async fn changes(
        &self,
        data_centre: &DataCentreId,
        after_version: u64,
        wait: Duration,
        deadline: Instant,
    ) -> Result<JobChanges, StateError> {
        let req = WatchRequest {
            prefix: jobs_prefix(data_centre),
            after_version,
            wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        };
        let reply = self.store.watch(CallClass::Job, req, deadline).await?;
        Ok(JobChanges::decode(&reply))
    }

    async fn read(&self, key: &str, deadline: Instant) -> Result<Option<StoredJob>, StateError> {
        let entry = self.store.get(CallClass::Job, key, deadline).await?;
        entry.as_ref().map(decode_job).transpose()
    }

    /// Creates a key unless it exists.
    async fn create(
        &self,
        key: String,
        value: String,
        deadline: Instant,
    ) -> Result<Creation, StateError> {
        let written = self
            .store
            .put(CallClass::Job, key, value, Expectation::Absent, deadline)
            .await?;
        match written {
            WriteOutcome::Applied(version) => Ok(Creation::New(version)),
            WriteOutcome::Conflict(Some(present)) => Ok(Creation::Present(present)),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => Err(StateError::Unknown),
        }
    }
}

/// The outcome of an attempt to create a key.
enum Creation {
    /// The key is new and has this version.
    New(u64),
    /// The key existed before.
    Present(KeyValue),
}

fn home_key(organisation: &OrganisationId, job: &JobId) -> String {
    format!("job-homes/{organisation}/{job}")
}

fn job_key(data_centre: &DataCentreId, organisation: &OrganisationId, job: &JobId) -> String {
    format!("jobs/{data_centre}/{organisation}/{job}")
}

fn decode_home(entry: &KeyValue) -> Result<DataCentreId, StateError> {
    Ok(entry.value.parse()?)
}

fn jobs_prefix(data_centre: &DataCentreId) -> String {
    format!("jobs/{data_centre}/")
}

fn compare_with_stored(
    present: Option<&KeyValue>,
    record: &JobRecord,
) -> Result<SaveOutcome, StateError> {
    let present = present.map(decode_job).transpose()?;
    Ok(match present {
        Some(present) if present.record == *record => SaveOutcome::Saved(present),
        present => SaveOutcome::Changed(present),
    })
}
