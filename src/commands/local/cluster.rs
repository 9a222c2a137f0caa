use crate::{access_key::AccessKey, client::ApiClient, error::CliError};
use error_stack::Report;
use lycheeyard_entry::{AccessMode, EntryNode, LogFilter, LogFormat, OperatorKeys, Settings};
use lycheeyard_protocol::{DataCentreId, Incarnation, Instance, InstanceRole, InstanceState};
use lycheeyard_standin::{Deployment, StandinCluster};
use std::{
    fmt::Display,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

const ENTRIES_PER_DATA_CENTRE: u16 = 2;
const SCHEDULER_LEASE: Duration = Duration::from_secs(3);
const FIRST_PORT: u16 = 7400;

/// Stand-ins and entry instances on loopback.
pub struct LocalCluster {
    /// The stand-ins.
    pub standins: StandinCluster,
    /// The entry instances' addresses, by data centre.
    pub entries: Vec<(DataCentreId, SocketAddr)>,
    /// The operators' key; without one, the entry instances ask for none.
    pub key: Option<AccessKey>,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl LocalCluster {
    /// Starts everything without keys; with `fixed_ports` the first entry instance listens on port 7400.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start(
        deployment: Deployment,
        fixed_ports: bool,
    ) -> Result<Self, Report<CliError>> {
        Self::start_with(deployment, fixed_ports, None).await
    }

    /// Starts everything; where a key is given, the entry instances take it as the operators' key.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start_with(
        deployment: Deployment,
        fixed_ports: bool,
        key: Option<AccessKey>,
    ) -> Result<Self, Report<CliError>> {
        let standins = StandinCluster::start(deployment)
            .await
            .map_err(|err| failed(&err))?;
        let mut cluster = Self {
            standins,
            entries: Vec::new(),
            key,
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
        };
        let data_centres: Vec<DataCentreId> = cluster
            .standins
            .data_centres
            .iter()
            .map(|dc| dc.id.clone())
            .collect();
        let mut port = if fixed_ports { FIRST_PORT } else { 0 };
        for data_centre in data_centres {
            for number in 1..=ENTRIES_PER_DATA_CENTRE {
                cluster.start_entry(&data_centre, number, port).await?;
                port += u16::from(fixed_ports);
            }
        }
        Ok(cluster)
    }

    /// Stops the entry instances and waits until they have drained.
    pub async fn stop(mut self) {
        self.stop.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// A client of the entry instance at an address, with the operators' key.
    pub fn client(&self, address: SocketAddr) -> ApiClient {
        ApiClient::new(address).with_key(self.key.clone())
    }

    async fn start_entry(
        &mut self,
        data_centre: &DataCentreId,
        number: u16,
        port: u16,
    ) -> Result<(), Report<CliError>> {
        let name = format!("{data_centre}-e{number}");
        let settings = Settings {
            instance: name.parse().map_err(|err| failed(&err))?,
            incarnation: Incarnation(1),
            data_centre: data_centre.clone(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            peer_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            store: self.standins.store.address(),
            instances: self.standins.list.address(),
            scheduler_lease: SCHEDULER_LEASE,
            drain: Duration::ZERO,
            access: if self.key.is_some() {
                AccessMode::Keys
            } else {
                AccessMode::Open
            },
            operator_keys: OperatorKeys::new(self.key.iter().map(AccessKey::digest).collect()),
            log_format: LogFormat::Text,
            log_filter: LogFilter::default(),
        };
        let node = EntryNode::bind(settings)
            .await
            .map_err(|err| failed(&err))?;
        self.standins.list.put(Instance {
            name,
            role: InstanceRole::Entry,
            data_centre: data_centre.clone(),
            service: None,
            address: node.address(),
            peer_address: Some(node.peer_address()),
            incarnation: Incarnation(1),
            state: InstanceState::Live,
        });
        self.entries.push((data_centre.clone(), node.address()));
        self.tasks.spawn(node.run(self.stop.clone()));
        Ok(())
    }
}

fn failed(err: &impl Display) -> Report<CliError> {
    Report::new(CliError::Tour(err.to_string()))
}
