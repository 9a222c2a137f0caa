use crate::access_key::AccessKey;
use lycheeyard_protocol::{
    DataCentreId, Guarantee, JobSpec, Organisation, ParseError, Preemption, Priority,
    RequestsPerSecond, Service, Shape, Slots, Ticket, TicketNumber, Weight,
};
use lycheeyard_standin::{Deployment, StandinCluster};
use std::collections::BTreeSet;

const ACCELERATORS_PER_WORKER: u16 = 8;
const RUN_TIME_MS: u64 = 3_600_000;

/// Builds the tickets and job specifications that a tour submits.
pub struct TourDocuments<'a> {
    /// The deployment that the cluster simulates.
    pub deployment: Deployment,
    /// The stand-ins of the cluster.
    pub standins: &'a StandinCluster,
    /// The data centre in which the tour runs its jobs.
    pub data_centre: DataCentreId,
    /// The operators' key, if the cluster has one.
    pub key: Option<AccessKey>,
}

impl TourDocuments<'_> {
    /// Builds a ticket with four organisations, which have 4, 1, 1 and 1 workers guaranteed.
    ///
    /// # Errors
    /// Fails when a name is invalid.
    pub fn ticket(&self) -> Result<Ticket, ParseError> {
        let service = Service {
            id: self.deployment.service().parse()?,
            organisations: BTreeSet::new(),
            runner_slots: Slots(8),
            runner_connections: Slots(64),
        };
        Ok(Ticket {
            number: TicketNumber(1),
            summary: "Four organisations share the deployment".to_owned(),
            data_centres: self.standins.data_centres.clone(),
            organisations: vec![
                self.organisation("org-a", 4)?,
                self.organisation("org-b", 1)?,
                self.organisation("org-c", 1)?,
                self.organisation("org-d", 1)?,
            ],
            services: vec![service],
            evacuation: None,
            removed: Vec::new(),
        })
    }

    /// Builds a job that uses all 8 accelerators of each of its workers.
    ///
    /// # Errors
    /// Fails when a name is invalid.
    pub fn job(
        &self,
        organisation: &str,
        job: &str,
        workers: u16,
        guaranteed: bool,
    ) -> Result<JobSpec, ParseError> {
        Ok(JobSpec {
            organisation: organisation.parse()?,
            job: job.parse()?,
            data_centre: self.data_centre.clone(),
            shape: Shape::new(workers, ACCELERATORS_PER_WORKER)?,
            priority: Priority::Normal,
            preemption: Preemption::Checkpoint,
            guaranteed,
            run_time_ms: RUN_TIME_MS,
            window_ms: None,
            payload: String::new(),
        })
    }

    fn organisation(&self, id: &str, workers: u16) -> Result<Organisation, ParseError> {
        let keys = self.key.iter().map(|key| key.for_organisation(id));
        Ok(Organisation {
            id: id.parse()?,
            weight: Weight(1),
            concurrency: Slots(64),
            rate: RequestsPerSecond(1000),
            guarantees: vec![Guarantee {
                data_centre: self.data_centre.clone(),
                shape: Shape::new(workers, ACCELERATORS_PER_WORKER)?,
            }],
            key_digests: keys.map(|key| key.digest().to_string()).collect(),
        })
    }
}
