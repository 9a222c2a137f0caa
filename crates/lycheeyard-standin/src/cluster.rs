use crate::{ListStandin, RunnerStandin, StandinError, StoreStandin, WorkerStandin};
use lycheeyard_protocol::{
    Bytes, Cores, DataCentre, DataCentreId, Incarnation, Instance, InstanceRole, InstanceState,
    ParseError, PolicySettings, Rack, RunnerId, ServiceId, Worker, WorkerId,
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use strum::{Display, EnumString, VariantNames};
use thiserror::Error;

/// One of the two reference deployments that the stand-ins can reproduce.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Serves delay maps: four data centres, racks of six workers.
    #[default]
    Cordillera,
    /// Serves a lot desk: three data centres, racks of eight workers.
    Kapeng,
}

/// The number and size of the machines of a deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DeploymentSize {
    /// Number of data centres.
    pub data_centres: u16,
    /// Number of workers in all data centres together.
    pub workers: u16,
    /// Number of workers in a full rack.
    pub rack_workers: u16,
    /// Number of accelerators of each worker.
    pub accelerators: u16,
    /// Processor cores of each worker.
    pub cores: Cores,
    /// Memory of each worker.
    pub memory: Bytes,
    /// Number of runners in all data centres together.
    pub runners: u16,
}

/// Why the stand-ins of a deployment could not be started.
#[derive(Debug, Error)]
pub enum ClusterError {
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// A generated name is invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
}

const GIB: u64 = 1024 * 1024 * 1024;
const LIST_LAG: Duration = Duration::from_millis(500);
const REQUEST_WORK: Duration = Duration::from_millis(2);

impl Deployment {
    /// The number and size of the deployment's machines.
    #[must_use]
    pub fn size(self) -> DeploymentSize {
        match self {
            Self::Cordillera => DeploymentSize {
                data_centres: 4,
                workers: 50,
                rack_workers: 6,
                accelerators: 8,
                cores: Cores(32),
                memory: Bytes(128 * GIB),
                runners: 50,
            },
            Self::Kapeng => DeploymentSize {
                data_centres: 3,
                workers: 50,
                rack_workers: 8,
                accelerators: 8,
                cores: Cores(64),
                memory: Bytes(256 * GIB),
                runners: 50,
            },
        }
    }

    /// The name of the service whose requests the deployment's runners serve.
    #[must_use]
    pub fn service(self) -> &'static str {
        match self {
            Self::Cordillera => "delay-maps",
            Self::Kapeng => "lot-desk",
        }
    }

    /// The data centres with their racks and workers.
    ///
    /// # Errors
    /// Fails when a generated name is invalid.
    pub fn data_centres(self) -> Result<Vec<DataCentre>, ParseError> {
        self.size().data_centres()
    }
}

impl DeploymentSize {
    /// The data centres with their racks and workers.
    ///
    /// # Errors
    /// Fails when a generated name is invalid.
    pub fn data_centres(self) -> Result<Vec<DataCentre>, ParseError> {
        (0..self.data_centres)
            .map(|index| make_data_centre(self, index))
            .collect()
    }
}

fn make_data_centre(size: DeploymentSize, index: u16) -> Result<DataCentre, ParseError> {
    let id: DataCentreId = format!("dc{}", index + 1).parse()?;
    let mut racks: Vec<Rack> = Vec::new();
    let workers = part_size(size.workers, size.data_centres, index);
    for number in 0..workers {
        let rack = number / size.rack_workers;
        if number % size.rack_workers == 0 {
            racks.push(Rack {
                id: format!("{id}-r{}", rack + 1).parse()?,
                workers: Vec::new(),
            });
        }
        let worker = Worker {
            id: format!("{id}-w{:02}", number + 1).parse()?,
            accelerators: size.accelerators,
            cores: size.cores,
            memory: size.memory,
        };
        if let Some(rack) = racks.last_mut() {
            rack.workers.push(worker);
        }
    }
    let policy = PolicySettings::default();
    Ok(DataCentre { id, racks, policy })
}

/// The size of part `index` when `total` is split into `parts` as evenly as possible; the first parts are the
/// larger ones.
fn part_size(total: u16, parts: u16, index: u16) -> u16 {
    total / parts + u16::from(index < total % parts)
}

/// All stand-ins of one deployment.
#[derive(Debug)]
pub struct StandinCluster {
    /// The key-value store that all data centres use.
    pub store: StoreStandin,
    /// The instance list.
    pub list: ListStandin,
    /// The workers by id.
    pub workers: BTreeMap<WorkerId, WorkerStandin>,
    /// The runners by id.
    pub runners: BTreeMap<RunnerId, RunnerStandin>,
    /// The data centres in the form in which a ticket configures them.
    pub data_centres: Vec<DataCentre>,
}

impl StandinCluster {
    /// Starts all stand-ins of a reference deployment and adds the workers and runners to the instance list.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start(deployment: Deployment) -> Result<Self, ClusterError> {
        Self::start_sized(deployment.size(), deployment.service()).await
    }

    /// Starts the stand-ins of a deployment of any size and adds the workers and runners to the instance list.
    ///
    /// # Errors
    /// Fails when a socket cannot be opened.
    pub async fn start_sized(size: DeploymentSize, service: &str) -> Result<Self, ClusterError> {
        let service: ServiceId = service.parse()?;
        let mut cluster = Self {
            store: StoreStandin::start().await?,
            list: ListStandin::start(LIST_LAG).await?,
            workers: BTreeMap::new(),
            runners: BTreeMap::new(),
            data_centres: size.data_centres()?,
        };
        let data_centres = cluster.data_centres.clone();
        for (index, data_centre) in (0..).zip(&data_centres) {
            cluster.start_workers(data_centre).await?;
            let runners = part_size(size.runners, size.data_centres, index);
            cluster
                .start_runners(data_centre, &service, runners)
                .await?;
        }
        Ok(cluster)
    }

    async fn start_workers(&mut self, data_centre: &DataCentre) -> Result<(), ClusterError> {
        for worker in data_centre.workers() {
            let standin = WorkerStandin::start(worker.id.clone(), worker.accelerators).await?;
            let name = worker.id.as_str();
            self.list_instance(
                name,
                InstanceRole::Worker,
                data_centre,
                None,
                standin.address(),
            );
            self.workers.insert(worker.id.clone(), standin);
        }
        Ok(())
    }

    async fn start_runners(
        &mut self,
        data_centre: &DataCentre,
        service: &ServiceId,
        count: u16,
    ) -> Result<(), ClusterError> {
        for number in 1..=count {
            let id: RunnerId = format!("{}-u{number:02}", data_centre.id).parse()?;
            let standin = RunnerStandin::start(id.clone(), REQUEST_WORK).await?;
            let service = Some(service.clone());
            let address = standin.address();
            self.list_instance(
                id.as_str(),
                InstanceRole::Runner,
                data_centre,
                service,
                address,
            );
            self.runners.insert(id, standin);
        }
        Ok(())
    }

    fn list_instance(
        &self,
        name: &str,
        role: InstanceRole,
        data_centre: &DataCentre,
        service: Option<ServiceId>,
        address: SocketAddr,
    ) {
        self.list.put(Instance {
            name: name.to_owned(),
            role,
            data_centre: data_centre.id.clone(),
            service,
            address,
            peer_address: None,
            incarnation: Incarnation(1),
            state: InstanceState::Live,
        });
    }
}
