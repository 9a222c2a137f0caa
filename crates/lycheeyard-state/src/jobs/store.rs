use super::{StoredJob, SubmitOutcome};
use crate::{
    StateError,
    error::{decode, encode},
};
use lycheeyard_platform::{CallClass, Store, WriteOutcome};
use lycheeyard_protocol::{
    DataCentreId, JobId, JobRecord, JobSpec, OrganisationId, Timestamp,
    platform::{Expectation, KeyValue, RangeRequest},
};
use tokio::time::Instant;

const PAGE: usize = 1000;

/// Keeps job records, one key a job.
#[derive(Clone, Debug)]
pub struct JobStore<S> {
    store: S,
}

impl<S: Store> JobStore<S> {
    /// Makes a job store on the platform's store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self { store }
    }

    /// Makes a job durable: first its home, which fixes its data centre, then its record.
    ///
    /// # Errors
    /// Fails when the store is out of reach, or with [`StateError::Unknown`] when a write may have
    /// taken effect; the same submission again completes it.
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
            Some(present) => decode_home(&present)?,
            None => spec.data_centre.clone(),
        };
        if data_centre != spec.data_centre {
            let stored = self.get(&spec.organisation, &spec.job, deadline).await?;
            return stored.map(SubmitOutcome::Taken).ok_or(StateError::Unknown);
        }
        let key = job_key(&data_centre, &spec.organisation, &spec.job);
        let record = JobRecord::submitted(spec.clone(), now);
        let value = encode(&key, &record)?;
        match self.create(key.clone(), value, deadline).await? {
            None => {
                let stored = self.read(&key, deadline).await?;
                stored
                    .map(SubmitOutcome::Created)
                    .ok_or(StateError::Unknown)
            }
            Some(present) => {
                let stored = decode_job(&present)?;
                if stored.record.spec == *spec {
                    Ok(SubmitOutcome::Existing(stored))
                } else {
                    Ok(SubmitOutcome::Taken(stored))
                }
            }
        }
    }

    /// Reads a job wherever its home is.
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
    ) -> Result<Vec<StoredJob>, StateError> {
        let mut jobs = Vec::new();
        let mut after = None;
        loop {
            let req = RangeRequest {
                prefix: format!("jobs/{data_centre}/"),
                after,
                limit: PAGE,
            };
            let reply = self.store.range(CallClass::Job, req, deadline).await?;
            let full = reply.entries.len() == PAGE;
            after = reply.entries.last().map(|entry| entry.key.clone());
            for entry in &reply.entries {
                jobs.push(decode_job(entry)?);
            }
            if !full {
                return Ok(jobs);
            }
        }
    }

    /// Replaces a record if nobody changed it since it was read.
    ///
    /// # Errors
    /// Fails when the store is out of reach.
    pub async fn update(
        &self,
        stored: &StoredJob,
        record: JobRecord,
        deadline: Instant,
    ) -> Result<WriteOutcome, StateError> {
        let spec = &record.spec;
        let key = job_key(&spec.data_centre, &spec.organisation, &spec.job);
        let value = encode(&key, &record)?;
        let expect = Expectation::Version(stored.version);
        let written = self.store.put(CallClass::Job, key, value, expect, deadline);
        Ok(written.await?)
    }

    async fn read(&self, key: &str, deadline: Instant) -> Result<Option<StoredJob>, StateError> {
        let entry = self.store.get(CallClass::Job, key, deadline).await?;
        entry.as_ref().map(decode_job).transpose()
    }

    /// Creates a key; gives the present entry where there was one.
    async fn create(
        &self,
        key: String,
        value: String,
        deadline: Instant,
    ) -> Result<Option<KeyValue>, StateError> {
        let written = self
            .store
            .put(CallClass::Job, key, value, Expectation::Absent, deadline)
            .await?;
        match written {
            WriteOutcome::Applied(_) => Ok(None),
            WriteOutcome::Conflict(Some(present)) => Ok(Some(present)),
            WriteOutcome::Conflict(None) | WriteOutcome::Unknown => Err(StateError::Unknown),
        }
    }
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

fn decode_job(entry: &KeyValue) -> Result<StoredJob, StateError> {
    Ok(StoredJob {
        record: decode(&entry.key, &entry.value)?,
        version: entry.version,
    })
}
