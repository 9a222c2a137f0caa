use super::RouterSettings;
use crate::{RunnerTable, hop::HopPools, members::PeerUsage, metrics::Metrics, slots::SlotTable};
use lycheeyard_clients::Store;
use lycheeyard_peer::Membership;
use lycheeyard_policy::RetryBudget;
use lycheeyard_state::{ClaimRegistry, ClaimStore, Configuration};
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64},
};
use tokio::sync::{Notify, watch};

/// What every part of the request path uses.
#[derive(Debug)]
pub(crate) struct RouterShared<S> {
    pub settings: RouterSettings,
    pub membership: Membership,
    pub table: RunnerTable,
    pub config: watch::Receiver<Arc<Configuration>>,
    pub slots: SlotTable,
    pub claims: ClaimStore<S>,
    pub book: ClaimRegistry,
    pub hops: HopPools,
    pub usage: PeerUsage,
    pub news: Notify,
    pub metrics: Metrics,
    /// The revision of the configuration that slots and limits follow.
    pub applied: AtomicU64,
    pub informed: AtomicBool,
    budget: Mutex<RetryBudget>,
}

impl<S: Store> RouterShared<S> {
    pub fn new(
        settings: RouterSettings,
        membership: Membership,
        table: RunnerTable,
        config: watch::Receiver<Arc<Configuration>>,
        store: S,
    ) -> Self {
        Self {
            claims: ClaimStore::new(store, settings.instance.clone()),
            settings,
            membership,
            table,
            config,
            slots: SlotTable::default(),
            book: ClaimRegistry::default(),
            hops: HopPools::default(),
            usage: PeerUsage::default(),
            news: Notify::new(),
            metrics: Metrics::default(),
            applied: AtomicU64::new(0),
            informed: AtomicBool::new(false),
            budget: Mutex::default(),
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn deposit(&self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.deposit();
    }

    /// Takes a retry from the budget.
    pub fn may_retry(&self) -> bool {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.withdraw()
    }
}
