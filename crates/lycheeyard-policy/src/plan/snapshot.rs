use super::{DecayedUsage, RunTimeCorrection};
use lycheeyard_protocol::{
    DataCentre, EvacuationStart, JobId, JobRecord, Organisation, OrganisationId, WorkerId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

/// Identifies a job within its data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobKey {
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
}

impl JobKey {
    /// Returns the key of the job that a record describes.
    #[must_use]
    pub fn of(record: &JobRecord) -> Self {
        Self {
            organisation: record.spec.organisation.clone(),
            job: record.spec.job.clone(),
        }
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.job)
    }
}

/// The input of a planning round for one data centre.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The racks and workers.
    pub data_centre: DataCentre,
    /// The start of the data centre's evacuation. While it is set, no job is placed, and none is stopped for another.
    pub evacuation: Option<EvacuationStart>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Every job that is not in a final state.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// Workers that must not get new tasks for now, such as unreachable ones.
    pub unavailable: BTreeSet<WorkerId>,
    /// Workers that failed several jobs and must not get new tasks until they are probed.
    pub quarantined: BTreeSet<WorkerId>,
    /// The recent usage of each organisation; a missing entry means no usage.
    pub usage: BTreeMap<OrganisationId, DecayedUsage>,
    /// The run-time correction of each organisation; without an entry, declared times are used unchanged.
    pub corrections: BTreeMap<OrganisationId, RunTimeCorrection>,
}

impl Snapshot {
    /// A snapshot of a data centre without jobs, whose workers are all usable.
    #[must_use]
    pub fn new(
        data_centre: DataCentre,
        organisations: BTreeMap<OrganisationId, Organisation>,
    ) -> Self {
        Self {
            data_centre,
            evacuation: None,
            organisations,
            jobs: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            quarantined: BTreeSet::new(),
            usage: BTreeMap::new(),
            corrections: BTreeMap::new(),
        }
    }

    /// Returns the correction of an organisation's declared run times.
    #[must_use]
    pub fn correction(&self, organisation: &OrganisationId) -> RunTimeCorrection {
        self.corrections
            .get(organisation)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the grace period in which a job may write a checkpoint.
    #[must_use]
    pub fn checkpoint_grace(&self) -> Duration {
        Duration::from_millis(self.data_centre.policy.checkpoint_grace_ms)
    }
}
