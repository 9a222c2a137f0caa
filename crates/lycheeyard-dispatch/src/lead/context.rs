use crate::config::ConfigState;
use lycheeyard_jobs::{WorkerInfo, WorkerLimits};
use lycheeyard_protocol::{InstanceId, WorkerId};

/// Reads the list of workers in the store.
pub trait WorkerReader: Clone + Send + Sync + 'static {
    /// The prefix of the keys that list workers.
    fn prefix(&self) -> &str;

    /// The worker that a key names, if it names one.
    fn worker_of(&self, key: &str) -> Option<WorkerId>;

    /// Reads a worker's description; none if the bytes do not describe a worker that can be used.
    fn read(&self, key: &str, bytes: &[u8]) -> Option<WorkerInfo>;
}

/// What an instance needs in order to schedule.
#[derive(Clone, Debug)]
pub struct Dispatcher<S, W, A, R, C> {
    /// The store.
    pub store: S,
    /// The workers' calls.
    pub workers: W,
    /// Who decides which workers may run a step.
    pub advisor: A,
    /// How workers are listed.
    pub reader: R,
    /// The configuration.
    pub config: ConfigState,
    /// The times that workers keep to.
    pub limits: WorkerLimits,
    /// The clocks.
    pub clock: C,
    /// This instance.
    pub instance: InstanceId,
}
