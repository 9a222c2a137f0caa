use super::RouterSettings;
use crate::{RunnerTable, hop::HopPools, members::UsageTable, metrics::Metrics, slots::SlotTable};
use lycheeyard_clients::Store;
use lycheeyard_peer::Membership;
use lycheeyard_policy::RetryBudget;
use lycheeyard_state::{ClaimRegistry, ClaimStore, Configuration};
use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64},
};
use tokio::sync::{Notify, watch};

/// The state that all parts of the request path share.
#[derive(Debug)]
pub(crate) struct RouterShared<S> {
    pub settings: RouterSettings,
    pub membership: Membership,
    pub runner_table: RunnerTable,
    pub config: watch::Receiver<Arc<Configuration>>,
    pub slots: SlotTable,
    pub claims: ClaimStore<S>,
    pub claim_registry: ClaimRegistry,
    pub hop_pools: HopPools,
    pub usage: UsageTable,
    /// Wakes the update loop before its next tick.
    pub refresh_needed: Notify,
    pub metrics: Metrics,
    /// The revision of the configuration from which slots and limits were last computed.
    pub applied_revision: AtomicU64,
    /// Whether a configuration and a non-empty list of instances have been received.
    pub is_initialised: AtomicBool,
    retry_budget: Mutex<RetryBudget>,
}

impl<S: Store> RouterShared<S> {
    pub fn new(
        settings: RouterSettings,
        membership: Membership,
        runner_table: RunnerTable,
        config: watch::Receiver<Arc<Configuration>>,
        store: S,
    ) -> Self {
        Self {
            claims: ClaimStore::new(store, settings.instance.clone()),
            settings,
            membership,
            runner_table,
            config,
            slots: SlotTable::default(),
            claim_registry: ClaimRegistry::default(),
            hop_pools: HopPools::default(),
            usage: UsageTable::default(),
            refresh_needed: Notify::new(),
            metrics: Metrics::default(),
            applied_revision: AtomicU64::new(0),
            is_initialised: AtomicBool::new(false),
            retry_budget: Mutex::default(),
        }
    }

    /// Adds a new request to the retry budget.
    pub fn count_request(&self) {
        let mut budget = self
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budget.deposit();
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn withdraw_retry(&self) -> bool {
        let mut budget = self
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        budget.withdraw()
    }
}
