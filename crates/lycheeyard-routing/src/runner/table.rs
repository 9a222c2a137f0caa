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
struct TableState {
    runners: BTreeMap<RunnerId, Arc<Runner>>,
    entry_instances: Vec<EntryInstance>,
    update_count: u64,
}

/// The runners of this data centre and all entry instances, from the platform's list.
#[derive(Clone, Debug)]
pub struct RunnerTable {
    data_centre: DataCentreId,
    membership: Membership,
    state: Arc<Mutex<TableState>>,
}

impl RunnerTable {
    /// Creates an empty table for a data centre.
    #[must_use]
    pub fn new(data_centre: DataCentreId, membership: Membership) -> Self {
        Self {
            data_centre,
            membership,
            state: Arc::default(),
        }
    }

    /// Applies a new list of instances; a runner whose incarnation and address are unchanged keeps its connections.
    pub fn update(&self, list: &InstanceList) {
        let mut state = self.lock();
        let mut runners = BTreeMap::new();
        for instance in &list.instances {
            let Some(runner) = self.resolve_runner(instance, &state.runners) else {
                continue;
            };
            if instance.state == InstanceState::Leaving {
                self.membership.mark_leaving(runner.incarnation_id());
            }
            runners.insert(runner.id.clone(), runner);
        }
        state.entry_instances = list
            .instances
            .iter()
            .filter_map(EntryInstance::from_instance)
            .collect();
        state.runners = runners;
        state.update_count += 1;
    }

    /// Records that a runner is leaving.
    pub fn mark_leaving(&self, runner: &Runner) {
        self.membership.mark_leaving(runner.incarnation_id());
    }

    /// Returns the listed runners of all services that accept new requests.
    #[must_use]
    pub fn live(&self) -> Vec<Arc<Runner>> {
        let runners: Vec<Arc<Runner>> = self.lock().runners.values().cloned().collect();
        runners
            .into_iter()
            .filter(|runner| !self.membership.is_leaving(&runner.incarnation_id()))
            .collect()
    }

    /// Returns all listed runners, including those that are leaving.
    pub(crate) fn listed(&self) -> Vec<Arc<Runner>> {
        self.lock().runners.values().cloned().collect()
    }

    /// Returns the listed entry instances of all data centres.
    pub(crate) fn entry_instances(&self) -> Vec<EntryInstance> {
        self.lock().entry_instances.clone()
    }

    /// Returns `true` if the last list named neither a runner nor an entry instance, which a stale list may do.
    pub(crate) fn is_empty(&self) -> bool {
        self.listed().is_empty() && self.entry_instances().is_empty()
    }

    /// Returns the number of lists that were applied.
    pub(crate) fn update_count(&self) -> u64 {
        self.lock().update_count
    }

    fn resolve_runner(
        &self,
        instance: &Instance,
        current: &BTreeMap<RunnerId, Arc<Runner>>,
    ) -> Option<Arc<Runner>> {
        if instance.role != InstanceRole::Runner || instance.data_centre != self.data_centre {
            return None;
        }
        let id: RunnerId = instance.name.parse().ok()?;
        let service = instance.service.clone()?;
        let same_incarnation = current.get(&id).filter(|runner| {
            runner.incarnation == instance.incarnation && runner.address == instance.address
        });
        if let Some(runner) = same_incarnation {
            return Some(runner.clone());
        }
        let runner = Runner::new(id, service, instance.address, instance.incarnation);
        Some(Arc::new(runner))
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
