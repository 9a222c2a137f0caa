use lycheeyard_protocol::{DataCentre, JobId, JobRecord, Organisation, OrganisationId, WorkerId};
use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

/// Names a job within its data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobKey {
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job.
    pub job: JobId,
}

impl JobKey {
    /// The key of a record.
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

/// Everything that a planning round sees of one data centre.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The racks and workers.
    pub data_centre: DataCentre,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Every job that is not in a final state.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// Workers that must not get new tasks.
    pub unavailable: BTreeSet<WorkerId>,
}
