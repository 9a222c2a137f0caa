use crate::{
    clock::Clock,
    config::ConfigState,
    ports::{KeyValueStore, MachineCalls, PlacementAdvisor, WaveFormat, WorkerCalls},
};
use lycheeyard_jobs::{WorkerInfo, WorkerLimits};
use lycheeyard_protocol::{InstanceId, WorkerId};

/// Reads the list of workers in the store.
pub trait WorkerReader: Clone + Send + Sync + 'static {
    /// The prefix of the keys that list workers.
    fn prefix(&self) -> &str;

    /// The worker that a key names, if it names one.
    fn parse_key(&self, key: &str) -> Option<WorkerId>;

    /// Reads a worker's description; none if the bytes do not describe a worker that can be used.
    fn read(&self, key: &str, bytes: &[u8]) -> Option<WorkerInfo>;
}

/// The outside systems that an instance schedules with.
pub trait Environment: Clone + Send + Sync + 'static {
    /// The store.
    type Store: KeyValueStore;
    /// The workers' calls.
    type Workers: WorkerCalls;
    /// Who decides which workers may run a step.
    type Advisor: PlacementAdvisor;
    /// The calls about machines.
    type Machines: MachineCalls;
    /// How waves of maintenance are asked for.
    type Waves: WaveFormat;
    /// How workers are listed.
    type Reader: WorkerReader;
    /// The clocks.
    type Clock: Clock;
}

/// What an instance needs in order to schedule.
#[derive(Clone, Debug)]
pub struct Dispatcher<E: Environment> {
    /// The store.
    pub store: E::Store,
    /// The workers' calls.
    pub workers: E::Workers,
    /// Who decides which workers may run a step.
    pub advisor: E::Advisor,
    /// The calls about machines.
    pub machines: E::Machines,
    /// How waves of maintenance are asked for.
    pub waves: E::Waves,
    /// How workers are listed.
    pub reader: E::Reader,
    /// The configuration.
    pub config: ConfigState,
    /// The times that workers keep to.
    pub limits: WorkerLimits,
    /// The clocks.
    pub clock: E::Clock,
    /// This instance.
    pub instance: InstanceId,
}
