use super::{EntryInstance, Runner};
use lycheeyard_peer::Membership;
use lycheeyard_protocol::{
    DataCentreId, Instance, InstanceRole, InstanceState, RunnerId, platform::InstanceList,
};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

#[derive(Debug, Default)]
struct Listed {
    runners: BTreeMap<RunnerId, Arc<Runner>>,
    entries: Vec<EntryInstance>,
    updates: u64,
}

/// The runners of this data centre and all entry instances, from the platform's list.
#[derive(Clone, Debug)]
pub struct RunnerTable {
    data_centre: DataCentreId,
    membership: Membership,
    listed: Arc<Mutex<Listed>>,
}

impl RunnerTable {
    /// Makes an empty table for a data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId, membership: Membership) -> Self {
        Self {
            data_centre,
            membership,
            listed: Arc::default(),
        }
    }

    /// Takes a new list of instances in; a runner that goes on in the same life keeps its connections.
    pub fn update(&self, list: &InstanceList) {
        let mut listed = self.lock();
        let mut next = BTreeMap::new();
        for instance in &list.instances {
            let Some(runner) = self.read(instance, &listed.runners) else {
                continue;
            };
            if instance.state == InstanceState::Leaving {
                self.membership.mark_leaving(runner.life());
            }
            next.insert(runner.id.clone(), runner);
        }
        listed.entries = list
            .instances
            .iter()
            .filter_map(EntryInstance::read)
            .collect();
        listed.runners = next;
        listed.updates += 1;
    }

    /// Remembers that a runner said that it leaves.
    pub fn mark_leaving(&self, runner: &Runner) {
        self.membership.mark_leaving(runner.life());
    }

    /// The listed runners of all services that take new work.
    #[must_use]
    pub fn live(&self) -> Vec<Arc<Runner>> {
        let runners: Vec<Arc<Runner>> = self.lock().runners.values().cloned().collect();
        runners
            .into_iter()
            .filter(|runner| !self.membership.is_leaving(&runner.life()))
            .collect()
    }

    /// The listed runners, also those that leave.
    pub(crate) fn listed(&self) -> Vec<Arc<Runner>> {
        self.lock().runners.values().cloned().collect()
    }

    /// The listed entry instances.
    pub(crate) fn entries(&self) -> Vec<EntryInstance> {
        self.lock().entries.clone()
    }

    /// Whether the last list named neither a runner nor an entry instance, as one that lags may.
    pub(crate) fn is_empty(&self) -> bool {
        self.listed().is_empty() && self.entries().is_empty()
    }

    /// The number of lists that were taken in.
    pub(crate) fn updates(&self) -> u64 {
        self.lock().updates
    }

    fn read(
        &self,
        instance: &Instance,
        known: &BTreeMap<RunnerId, Arc<Runner>>,
    ) -> Option<Arc<Runner>> {
        if instance.role != InstanceRole::Runner || instance.data_centre != self.data_centre {
            return None;
        }
        let id: RunnerId = instance.name.parse().ok()?;
        let service = instance.service.clone()?;
        let same_life = known.get(&id).filter(|runner| {
            runner.incarnation == instance.incarnation && runner.address == instance.address
        });
        if let Some(runner) = same_life {
            return Some(runner.clone());
        }
        let runner = Runner::new(id, service, instance.address, instance.incarnation);
        Some(Arc::new(runner))
    }

    fn lock(&self) -> MutexGuard<'_, Listed> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
