use crate::{client::ApiClient, commands::local::LocalCluster, error::CliError};
use error_stack::Report;
use lycheeyard_bench::{LoadDocument, Target};
use lycheeyard_protocol::{
    Organisation, RequestsPerSecond, Service, Slots, StatusReport, Ticket, TicketNumber, Weight,
};
use lycheeyard_standin::Deployment;
use serde_json::Value;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::{Instant, sleep};

const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const UNLIMITED: u32 = 1_000_000;

/// A local cluster as the target of a load run.
pub struct LocalTarget {
    cluster: LocalCluster,
}

impl LocalTarget {
    /// Starts a local cluster, applies a ticket with the organisations of a load document and waits
    /// until it is in force.
    ///
    /// # Errors
    /// Fails when the cluster cannot start or rejects the ticket, or when an entry instance does not
    /// have it in force within 10 seconds.
    pub async fn start(
        deployment: Deployment,
        document: &LoadDocument,
    ) -> Result<Self, Report<CliError>> {
        let cluster = LocalCluster::start(deployment, false).await?;
        let target = Self { cluster };
        let ticket = target.ticket(document);
        let first = target
            .cluster
            .entries
            .first()
            .ok_or_else(|| cluster_error("the cluster has no entry instance"))?;
        let client = ApiClient::new(first.1);
        let path = format!("/v1/tickets/{}", ticket.number);
        let _: Value = client.put(&path, &ticket).await?;
        for (_, address) in &target.cluster.entries {
            wait_in_force(ApiClient::new(*address)).await?;
        }
        Ok(target)
    }

    /// Returns the entry instances of the first data centre.
    pub fn entries(&self) -> Vec<Target> {
        let first = self
            .cluster
            .entries
            .first()
            .map(|(data_centre, _)| data_centre.clone());
        let here = self
            .cluster
            .entries
            .iter()
            .filter(|(dc, _)| Some(dc) == first.as_ref());
        here.map(|(_, address)| Target::Entry(*address)).collect()
    }

    /// Returns the runners of the first data centre.
    pub fn runners(&self) -> Vec<Target> {
        let first = self
            .cluster
            .entries
            .first()
            .map(|(data_centre, _)| format!("{data_centre}-"));
        let prefix = first.unwrap_or_default();
        let here = self.cluster.standins.runners.iter();
        here.filter(|(id, _)| id.as_str().starts_with(&prefix))
            .map(|(_, standin)| Target::Runner(standin.address()))
            .collect()
    }

    /// Returns the address of each stand-in by name, for the faults of a load document.
    pub fn standin_addresses(&self) -> BTreeMap<String, SocketAddr> {
        let standins = &self.cluster.standins;
        let runners = standins
            .runners
            .iter()
            .map(|(id, standin)| (id.to_string(), standin.address()));
        let workers = standins
            .workers
            .iter()
            .map(|(id, standin)| (id.to_string(), standin.address()));
        let platform = [
            ("store".to_owned(), standins.store.address()),
            ("list".to_owned(), standins.list.address()),
        ];
        runners.chain(workers).chain(platform).collect()
    }

    /// Stops the cluster and waits until its entry instances have drained.
    pub async fn stop(self) {
        self.cluster.stop().await;
    }

    fn ticket(&self, document: &LoadDocument) -> Ticket {
        let organisations = document.organisations.iter().map(|share| Organisation {
            id: share.id.clone(),
            weight: Weight(1),
            concurrency: Slots(UNLIMITED),
            rate: RequestsPerSecond(UNLIMITED),
            guarantees: Vec::new(),
            key_digests: Vec::new(),
        });
        Ticket {
            number: TicketNumber(1),
            summary: "Organisations of a load run".to_owned(),
            data_centres: self.cluster.standins.data_centres.clone(),
            organisations: organisations.collect(),
            services: vec![Service {
                id: document.service.clone(),
                organisations: BTreeSet::new(),
                runner_slots: Slots(8),
                runner_connections: Slots(64),
            }],
            evacuation: None,
            removed: Vec::new(),
        }
    }
}

async fn wait_in_force(client: ApiClient) -> Result<(), Report<CliError>> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    while Instant::now() < deadline {
        let status: StatusReport = client.get("/v1/status").await?;
        if status.instance.revision.0 > 0 && !status.peers.is_empty() {
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(cluster_error(
        "the ticket was not in force at every entry instance before the timeout",
    ))
}

fn cluster_error(text: &str) -> Report<CliError> {
    Report::new(CliError::LocalCluster(text.to_owned()))
}
