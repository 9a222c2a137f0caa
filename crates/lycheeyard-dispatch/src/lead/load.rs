use super::{
    event::Event,
    requests::read_request,
    silent_record::{SilentRecord, read_silent_record},
    speed_record::read_speeds,
};
use crate::{
    follow::Listing,
    keys::{
        MAINTENANCE, PROGRESS, REQUESTS, SILENT_WORKERS, WORKER_SPEEDS, parse_maintenance,
        parse_progress,
    },
    ports::{Item, KeyValueStore, KvError, StoreRevision},
};
use lycheeyard_jobs::{Job, Progress, SpeedRecord, WaveNumber, WaveProgress};
use lycheeyard_protocol::JobId;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use tracing::warn;

/// The stored records at the start of a term.
pub(super) struct Records {
    pub jobs: Vec<Job>,
    pub cancelled: Vec<JobId>,
    pub progress: BTreeMap<JobId, Progress>,
    /// The revisions of the progress records, including those that cannot be decoded.
    pub revisions: BTreeMap<JobId, StoreRevision>,
    /// The progress of maintenance waves as earlier terms recorded it.
    pub waves: BTreeMap<WaveNumber, WaveProgress>,
    /// The revisions of the wave records, including those that cannot be decoded.
    pub wave_revisions: BTreeMap<WaveNumber, StoreRevision>,
    /// The speeds of workers as an earlier term recorded them; empty if there is no readable record.
    pub speeds: SpeedRecord,
    /// The revision of that record, also of one that cannot be decoded; 0 if there is none.
    pub speeds_revision: StoreRevision,
    /// The workers that were silent in the term before.
    pub silent: SilentRecord,
    /// The revision at which requests were listed; newer ones are not included.
    pub requests_as_of: StoreRevision,
    /// The requests to evacuate data centres.
    pub evacuations: Vec<Item>,
    /// The revision at which they were listed.
    pub evacuations_as_of: StoreRevision,
}

impl Records {
    /// Returns the jobs whose progress records cannot be decoded, so that it is unknown what of them is done or runs.
    pub fn jobs_with_unreadable_progress(&self) -> impl Iterator<Item = &JobId> {
        let recorded = self.revisions.keys();
        recorded.filter(|id| !self.progress.contains_key(*id))
    }
}

/// Reads all records of jobs and maintenance waves at the start of a term. Nothing else writes progress records then, so
/// that what was read before a failed call stays valid.
pub(super) struct RecordsLoader {
    requests: Listing,
    progress: Listing,
    waves: Listing,
    /// Lists nothing if there is no prefix.
    evacuations: Listing,
    speeds: Listing,
    silent: Listing,
}

impl RecordsLoader {
    /// Begins to read. Requests to evacuate data centres are read only if their prefix is given.
    pub fn new(evacuations: Option<&str>) -> Self {
        let evacuations = evacuations.map(str::to_owned);
        Self {
            requests: Listing::new(vec![REQUESTS.to_owned()]),
            progress: Listing::new(vec![PROGRESS.to_owned()]),
            waves: Listing::new(vec![MAINTENANCE.to_owned()]),
            evacuations: Listing::new(evacuations.into_iter().collect()),
            speeds: Listing::new(vec![WORKER_SPEEDS.to_owned()]),
            silent: Listing::new(vec![SILENT_WORKERS.to_owned()]),
        }
    }

    /// Reads what is missing. After an error the next call goes on where this one stopped.
    pub async fn load<S: KeyValueStore>(&mut self, store: &S) -> Result<Records, KvError> {
        self.requests.read(store).await?;
        self.progress.read(store).await?;
        self.waves.read(store).await?;
        self.evacuations.read(store).await?;
        self.speeds.read(store).await?;
        self.silent.read(store).await?;
        Ok(self.records())
    }

    fn records(&self) -> Records {
        let (progress, revisions) = read_records(self.progress.items(), parse_progress);
        let (waves, wave_revisions) = read_records(self.waves.items(), parse_maintenance);
        let (speeds, speeds_revision) = read_speeds(self.speeds.items());
        let mut records = Records {
            jobs: Vec::new(),
            cancelled: Vec::new(),
            progress,
            revisions,
            waves,
            wave_revisions,
            speeds,
            speeds_revision,
            silent: read_silent_record(self.silent.items()),
            requests_as_of: self.requests.revision(),
            evacuations: self.evacuations.items().to_vec(),
            evacuations_as_of: self.evacuations.revision(),
        };
        for item in self.requests.items() {
            match read_request(item) {
                Some(Event::Submitted(job)) => records.jobs.push(*job),
                Some(Event::Cancelled(id)) => records.cancelled.push(id),
                _ => {}
            }
        }
        records
    }
}

/// Decodes items into records and revisions, both by parsed key. An item that cannot be decoded has only a revision.
fn read_records<K: Clone + Ord, V: DeserializeOwned>(
    items: &[Item],
    parse: fn(&str) -> Option<K>,
) -> (BTreeMap<K, V>, BTreeMap<K, StoreRevision>) {
    let mut records = BTreeMap::new();
    let mut revisions = BTreeMap::new();
    for item in items {
        let Some(key) = parse(&item.key) else {
            continue;
        };
        revisions.insert(key.clone(), item.revision);
        match serde_json::from_slice(&item.value) {
            Ok(record) => {
                records.insert(key, record);
            }
            Err(err) => warn!(key = %item.key, %err, "lead: a record cannot be read"),
        }
    }
    (records, revisions)
}
