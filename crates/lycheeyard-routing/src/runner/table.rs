use lycheeyard_peer::{LeavingRunner, Membership};
use lycheeyard_protocol::{
    DataCentreId, Incarnation, Instance, InstanceRole, InstanceState, RunnerId, ServiceId,
    platform::InstanceList,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

/// A runner of this data centre.
#[derive(Clone, Debug)]
pub struct Runner {
    /// The runner's name.
    pub id: RunnerId,
    /// The service that it answers for.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Which life of the name this is.
    pub incarnation: Incarnation,
    in_flight: Arc<AtomicU32>,
}

/// Counts one request of a runner as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicU32>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Runner {
    /// The requests that this instance has in flight there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Counts one more request as in flight.
    pub(crate) fn begin(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.in_flight.clone())
    }

    fn life(&self) -> LeavingRunner {
        LeavingRunner {
            runner: self.id.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// The live runners of this data centre.
#[derive(Clone, Debug)]
pub struct RunnerTable {
    data_centre: DataCentreId,
    membership: Membership,
    runners: Arc<Mutex<BTreeMap<RunnerId, Runner>>>,
}

impl RunnerTable {
    /// Makes an empty table for a data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId, membership: Membership) -> Self {
        Self {
            data_centre,
            membership,
            runners: Arc::default(),
        }
    }

    /// Takes a new list of instances in; counts of requests in flight are kept.
    pub fn update(&self, list: &InstanceList) {
        let mut next = BTreeMap::new();
        let mut runners = self.lock();
        for instance in &list.instances {
            let Some(runner) = self.read(instance, &runners) else {
                continue;
            };
            if instance.state == InstanceState::Leaving {
                self.membership.mark_leaving(runner.life());
            }
            next.insert(runner.id.clone(), runner);
        }
        *runners = next;
    }

    /// Remembers that a runner said that it leaves.
    pub fn mark_leaving(&self, runner: &Runner) {
        self.membership.mark_leaving(runner.life());
    }

    /// The runners of a service that take new work.
    #[must_use]
    pub fn live(&self, service: &ServiceId) -> Vec<Runner> {
        let runners = self.lock();
        let of_service = runners.values().filter(|runner| runner.service == *service);
        of_service
            .filter(|runner| !self.membership.is_leaving(&runner.life()))
            .cloned()
            .collect()
    }

    fn read(&self, instance: &Instance, known: &BTreeMap<RunnerId, Runner>) -> Option<Runner> {
        if instance.role != InstanceRole::Runner || instance.data_centre != self.data_centre {
            return None;
        }
        let id: RunnerId = instance.name.parse().ok()?;
        let same_life = known
            .get(&id)
            .filter(|runner| runner.incarnation == instance.incarnation);
        Some(Runner {
            service: instance.service.clone()?,
            address: instance.address,
            incarnation: instance.incarnation,
            in_flight: same_life
                .map(|runner| runner.in_flight.clone())
                .unwrap_or_default(),
            id,
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<RunnerId, Runner>> {
        self.runners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
