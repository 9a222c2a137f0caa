use crate::SchedulerError;
use lycheeyard_protocol::{DataCentreId, InstanceRole, WorkerId, platform::InstanceList};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// The addresses of the workers of this data centre.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    data_centre: DataCentreId,
    addresses: Arc<Mutex<BTreeMap<WorkerId, SocketAddr>>>,
}

impl WorkerTable {
    /// Creates an empty table for a data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId) -> Self {
        Self {
            data_centre,
            addresses: Arc::default(),
        }
    }

    /// Replaces the table with the workers of this data centre in a new instance list.
    pub fn update(&self, list: &InstanceList) {
        let here = list.instances.iter().filter(|instance| {
            instance.role == InstanceRole::Worker && instance.data_centre == self.data_centre
        });
        let addresses = here
            .filter_map(|instance| Some((instance.name.parse().ok()?, instance.address)))
            .collect();
        *self.lock() = addresses;
    }

    /// Returns the address of a worker.
    ///
    /// # Errors
    /// Fails if the instance list does not name the worker.
    pub fn address(&self, worker: &WorkerId) -> Result<SocketAddr, SchedulerError> {
        let address = self.lock().get(worker).copied();
        address.ok_or_else(|| SchedulerError::NoAddress(worker.clone()))
    }

    /// Whether the instance list names the worker.
    #[must_use]
    pub fn contains(&self, worker: &WorkerId) -> bool {
        self.lock().contains_key(worker)
    }

    /// Returns the address of every worker in the instance list.
    #[must_use]
    pub fn all(&self) -> BTreeMap<WorkerId, SocketAddr> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<WorkerId, SocketAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
