use super::{event::Event, requests::read_request};
use crate::{
    follow::list_all,
    keys::{MAINTENANCE, PROGRESS, REQUESTS, parse_maintenance, parse_progress},
    ports::{KeyValueStore, KvError, StoreRevision},
};
use lycheeyard_jobs::{Job, Progress, WaveNumber, WaveProgress};
use lycheeyard_protocol::JobId;
use std::collections::BTreeMap;
use tracing::warn;

/// The records as a term begins.
pub(super) struct Records {
    pub jobs: Vec<Job>,
    pub cancelled: Vec<JobId>,
    pub progress: BTreeMap<JobId, Progress>,
    /// The revisions of the progress records.
    pub revisions: BTreeMap<JobId, StoreRevision>,
    /// What earlier holders recorded of waves of maintenance,
    pub waves: BTreeMap<WaveNumber, WaveProgress>,
    /// and the revisions of these records.
    pub wave_revisions: BTreeMap<WaveNumber, StoreRevision>,
    /// Requests that are newer than this are not in it.
    pub requests_as_of: StoreRevision,
}

/// Reads all records of jobs.
pub(super) async fn load_records<S: KeyValueStore>(store: &S) -> Result<Records, KvError> {
    let (requests, requests_as_of) = list_all(store, REQUESTS).await?;
    let (states, _) = list_all(store, PROGRESS).await?;
    let (waves, _) = list_all(store, MAINTENANCE).await?;
    let mut records = Records {
        jobs: Vec::new(),
        cancelled: Vec::new(),
        progress: BTreeMap::new(),
        revisions: BTreeMap::new(),
        waves: BTreeMap::new(),
        wave_revisions: BTreeMap::new(),
        requests_as_of,
    };
    for item in &requests {
        match read_request(item) {
            Some(Event::Submitted(job)) => records.jobs.push(*job),
            Some(Event::Cancelled(id)) => records.cancelled.push(id),
            _ => {}
        }
    }
    for item in &states {
        let Some(id) = parse_progress(&item.key) else {
            continue;
        };
        records.revisions.insert(id.clone(), item.revision);
        match serde_json::from_slice(&item.value) {
            Ok(progress) => {
                records.progress.insert(id, progress);
            }
            Err(err) => warn!(key = %item.key, %err, "lead: a progress record cannot be read"),
        }
    }
    for item in &waves {
        let Some(number) = parse_maintenance(&item.key) else {
            continue;
        };
        records.wave_revisions.insert(number, item.revision);
        match serde_json::from_slice(&item.value) {
            Ok(progress) => {
                records.waves.insert(number, progress);
            }
            Err(err) => warn!(key = %item.key, %err, "lead: the record of a wave cannot be read"),
        }
    }
    Ok(records)
}
