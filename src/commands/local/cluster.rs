use crate::{access_key::AccessKey, client::ApiClient, error::CliError};
use error_stack::Report;
use lycheeyard_clients::{ClientLimits, ProcessLimits};
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
const FIRST_FIXED_PORT: u16 = 7400;

/// Stand-ins for the platform and entry instances, all in this process and on loopback.
pub struct LocalCluster {
    /// The stand-ins for the store, the instance list, the workers and the runners.
    pub standins: StandinCluster,
    /// The address of each entry instance with its data centre, in the order of the data centres.
    pub entries: Vec<(DataCentreId, SocketAddr)>,
    /// The operators' key; if `None`, the entry instances accept calls without a key.
    pub key: Option<AccessKey>,
    shutdown: CancellationToken,
    tasks: JoinSet<()>,
}

impl LocalCluster {
    /// Starts a cluster without access keys. With `fixed_ports`, the entry instances listen on port
    /// 7400 and the ports after it; else on free ports.
    ///
    /// # Errors
    /// Fails when a stand-in or an entry instance cannot start.
    pub async fn start(
        deployment: Deployment,
        fixed_ports: bool,
    ) -> Result<Self, Report<CliError>> {
        Self::start_with_key(deployment, fixed_ports, None).await
    }

    /// Starts a cluster; if a key is given, the entry instances accept it as the operators' key.
    ///
    /// # Errors
    /// Fails when a stand-in or an entry instance cannot start.
    pub async fn start_with_key(
        deployment: Deployment,
        fixed_ports: bool,
        key: Option<AccessKey>,
    ) -> Result<Self, Report<CliError>> {
        let standins = StandinCluster::start(deployment)
            .await
            .map_err(|err| cluster_error(&err))?;
        let mut cluster = Self {
            standins,
            entries: Vec::new(),
            key,
            shutdown: CancellationToken::new(),
            tasks: JoinSet::new(),
        };
        let data_centres: Vec<DataCentreId> = cluster
            .standins
            .data_centres
            .iter()
            .map(|dc| dc.id.clone())
            .collect();
        let mut port = if fixed_ports { FIRST_FIXED_PORT } else { 0 };
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
        self.shutdown.cancel();
        while self.tasks.join_next().await.is_some() {}
    }

    /// Creates a client of the entry instance at `address` that sends the operators' key.
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
            instance: name.parse().map_err(|err| cluster_error(&err))?,
            incarnation: Incarnation(1),
            data_centre: data_centre.clone(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
            peer_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            store: self.standins.store.address(),
            instances: self.standins.list.address(),
            scheduler_lease: SCHEDULER_LEASE,
            drain: Duration::ZERO,
            connections: ProcessLimits::default(),
            client_limits: ClientLimits::default(),
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
            .map_err(|err| cluster_error(&err))?;
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
        self.tasks.spawn(node.run(self.shutdown.clone()));
        Ok(())
    }
}

fn cluster_error(err: &impl Display) -> Report<CliError> {
    Report::new(CliError::LocalCluster(err.to_string()))
}
