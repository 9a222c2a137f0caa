use super::{records::UnreadableRecords, retry_budget::RetryBudget, withdrawals::Withdrawals};
use std::sync::Arc;

/// Accepts submissions and cancellations of jobs and answers queries about them. Works on every instance, since
/// all state is in the store.
#[derive(Clone, Debug)]
pub struct JobIntake<S> {
    pub(super) store: S,
    pub(super) read_retries: RetryBudget,
    pub(super) write_retries: RetryBudget,
    pub(super) unreadable: Arc<UnreadableRecords>,
    pub(super) withdrawals: Withdrawals,
}

impl<S> JobIntake<S> {
    /// Creates an intake over a store.
    #[must_use]
    pub fn new(store: S) -> Self {
        Self {
            store,
            read_retries: RetryBudget::default(),
            write_retries: RetryBudget::default(),
            unreadable: Arc::default(),
            withdrawals: Withdrawals::default(),
        }
    }
}
