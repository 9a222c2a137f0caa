use crate::{
    clock::Clock,
    config::ConfigState,
    dated::DatedStore,
    ports::{
        EvacuationFormat, KeyValueStore, MachineCalls, PlacementAdvisor, WaveFormat, WorkerCalls,
    },
    term::InstanceSize,
};
use lycheeyard_jobs::{WorkerInfo, WorkerLimits};
use lycheeyard_protocol::{InstanceId, WorkerId};
use std::error::Error;

/// Decodes the list of workers in the store.
pub trait WorkerReader: Clone + Send + Sync + 'static {
    /// Why an entry describes no usable worker.
    type Error: Error + Send + Sync + 'static;

    /// Returns the prefix of the keys that list workers.
    fn prefix(&self) -> &str;

    /// Returns the worker that a key names; `None` if it is not the key of a worker.
    fn parse_key(&self, key: &str) -> Option<WorkerId>;

    /// Decodes the description of a worker.
    ///
    /// # Errors
    /// Returns an error if the bytes do not describe a usable worker.
    fn read(&self, key: &str, bytes: &[u8]) -> Result<WorkerInfo, Self::Error>;
}

/// The external systems that an instance schedules with.
pub trait Environment: Clone + Send + Sync + 'static {
    /// The key-value store.
    type Store: KeyValueStore;
    /// The client for workers.
    type Workers: WorkerCalls;
    /// The client for the advisor, which decides which workers may run a step.
    type Advisor: PlacementAdvisor;
    /// The client for the platform's machine management.
    type Machines: MachineCalls;
    /// The format of maintenance waves in the store.
    type Waves: WaveFormat;
    /// The format of requests to evacuate data centres in the store.
    type Evacuations: EvacuationFormat;
    /// The decoder of the list of workers.
    type Reader: WorkerReader;
    /// The source of the current time.
    type Clock: Clock;
}

/// Everything that an instance needs to schedule.
#[derive(Clone, Debug)]
pub struct Dispatcher<E: Environment> {
    /// The key-value store. Its answers also tell when its revisions were reached, so everything that asks it uses this value or a
    /// clone.
    pub store: DatedStore<E::Store, E::Clock>,
    /// The client for workers.
    pub workers: E::Workers,
    /// The client for the advisor, which decides which workers may run a step.
    pub advisor: E::Advisor,
    /// The client for the platform's machine management.
    pub machines: E::Machines,
    /// The format of maintenance waves in the store.
    pub waves: E::Waves,
    /// The format of requests to evacuate data centres; `None` if this deployment has no such requests.
    pub evacuations: Option<E::Evacuations>,
    /// The decoder of the list of workers.
    pub reader: E::Reader,
    /// The current configuration, kept up to date by `follow_config`.
    pub config: ConfigState,
    /// The time limits that workers keep to.
    pub limits: WorkerLimits,
    /// The source of the current time.
    pub clock: E::Clock,
    /// Whether this instance, while it schedules, closes queues for organisations whose backlog is too long. Submissions to a closed
    /// queue are refused by all instances.
    pub has_admission_control: bool,
    /// The name of this instance.
    pub instance: InstanceId,
    /// The resources of this instance.
    pub size: InstanceSize,
}
