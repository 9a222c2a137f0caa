use super::{
    IntakeError, JobIntake,
    retries::Retries,
    withdrawals::{LEASE_TTL, Place},
};
use crate::{
    keys,
    ports::{CommitOutcome, KeyValueStore, LeaseId, StoreRevision, Transaction},
};
use lycheeyard_protocol::{JobId, OrganisationId, QueueId};
use tokio::time::Instant;

/// The outcome of an attempt to keep a job that is not stored from being stored.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WithdrawOutcome {
    /// No copy of a submission will store the job.
    Withdrawn,
    /// The job was stored, or has ended, in the meantime.
    JobStored,
    /// The store did not answer; the withdrawal may be stored already or later.
    Unknown,
}

impl<S: KeyValueStore> JobIntake<S> {
    /// Stores that a job must not be stored, unless it is stored already.
    ///
    /// # Errors
    /// Returns an error only if this attempt certainly stored nothing and will store nothing later.
    pub(super) async fn try_withdraw(
        &self,
        queue: &QueueId,
        organisation: &OrganisationId,
        id: &JobId,
        retries: &Retries,
    ) -> Result<WithdrawOutcome, IntakeError> {
        let key = keys::withdrawn(queue, organisation, id);
        let lease = self.withdrawal_lease(organisation, &key, retries).await?;
        let transaction = Transaction {
            expect: vec![
                (keys::job(id), StoreRevision(0)),
                (keys::ended(id), StoreRevision(0)),
            ],
            writes: vec![(key.clone(), Vec::new(), Some(lease))],
            removes: Vec::new(),
        };
        let deadline = retries.next_deadline();
        let outcome = self.store.commit(&transaction, deadline).await;
        Ok(match outcome.map_err(IntakeError::at(&key))? {
            CommitOutcome::Done(_) => WithdrawOutcome::Withdrawn,
            CommitOutcome::Conflict(_) => WithdrawOutcome::JobStored,
            CommitOutcome::NoLease => {
                self.withdrawals.drop_lease(lease);
                WithdrawOutcome::Unknown
            }
            CommitOutcome::Unknown => WithdrawOutcome::Unknown,
        })
    }

    /// Returns the lease for a withdrawal, a new one if the last one has been in use for long.
    async fn withdrawal_lease(
        &self,
        organisation: &OrganisationId,
        key: &str,
        retries: &Retries,
    ) -> Result<LeaseId, IntakeError> {
        loop {
            match self.withdrawals.take_place(organisation) {
                Place::Under(lease) => return Ok(lease),
                Place::Full => return Err(IntakeError::TooManyWithdrawals),
                Place::NeedsLease => {}
            }
            let requested_at = Instant::now();
            let deadline = retries.next_deadline();
            let granted = self.store.grant_lease(LEASE_TTL, deadline).await;
            let (lease, ttl) = granted.map_err(IntakeError::at(key))?;
            self.withdrawals.set_lease(lease, requested_at, ttl);
        }
    }
}
