use crate::{DataCentreMembers, SchedulerSettings, SchedulerStatus, records::JobCache};
use lycheeyard_clients::Store;
use lycheeyard_protocol::{AuditEvent, InstanceId};
use lycheeyard_state::{AuditTrail, HeldLease, LeaseOutcome, SchedulerLease};
use std::time::Duration;
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Attempts to acquire or renew the lease in one lease duration.
const ATTEMPTS_PER_LEASE: u32 = 6;

/// How many live instances of a data centre, the first by name, try to acquire its lease. If all tried, their calls
/// would grow with the number of instances.
const MAX_LEASE_CANDIDATES: usize = 2;

/// Acquires and renews the scheduler lease, independently of the rounds, so that a slow round does not lose it.
#[derive(Debug)]
pub struct LeaseKeeper<S> {
    lease: SchedulerLease<S>,
    instance: InstanceId,
    members: watch::Receiver<DataCentreMembers>,
    duration: Duration,
    status: watch::Sender<SchedulerStatus>,
    cache: JobCache,
    audit: AuditTrail,
}

impl<S: Store> LeaseKeeper<S> {
    /// Creates a keeper that publishes the held lease to `status`.
    #[must_use]
    pub fn new(
        settings: &SchedulerSettings,
        store: S,
        status: watch::Sender<SchedulerStatus>,
        cache: JobCache,
        audit: AuditTrail,
        members: watch::Receiver<DataCentreMembers>,
    ) -> Self {
        let instance = settings.instance.clone();
        Self {
            lease: SchedulerLease::new(
                store,
                &settings.data_centre,
                instance.clone(),
                settings.lease,
            ),
            instance,
            members,
            duration: settings.lease,
            status,
            cache,
            audit,
        }
    }

    /// Acquires and renews the lease until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.acquire_or_renew().await;
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(self.duration / ATTEMPTS_PER_LEASE) => {}
            }
        }
    }

    /// Resigns a held lease. No call with side effects may follow.
    pub async fn resign(&self) {
        let held = self.status.send_replace(SchedulerStatus::default()).held;
        let Some(held) = held else { return };
        match self.lease.resign(held, store_deadline()).await {
            Ok(()) => self
                .audit
                .record(AuditEvent::LeaseResigned { epoch: held.epoch }),
            Err(err) => warn!(
                "scheduler: failed to resign the lease; it stays held until it expires: {err}"
            ),
        }
    }

    async fn acquire_or_renew(&self) {
        let now = Instant::now();
        let last_held = self.status.borrow().held;
        let held = last_held.filter(|held| held.is_valid(now));
        if held.is_some_and(|held| held.valid_until - now > self.duration / 2) {
            return;
        }
        if last_held.is_some() && held.is_none() {
            warn!("scheduler: the lease expired");
        }
        if held.is_none() && !self.is_candidate() {
            return self.publish(None, None);
        }
        let next = match self.lease.acquire(held, store_deadline()).await {
            Ok(LeaseOutcome::Held(next)) => Some(next),
            Ok(LeaseOutcome::NotHeld) => None,
            Err(err) => {
                warn!("scheduler: failed to acquire or renew the lease: {err}");
                held
            }
        };
        self.publish(held, next);
    }

    fn is_candidate(&self) -> bool {
        let members = self.members.borrow();
        let before = members.live.iter().filter(|peer| **peer < self.instance);
        before.count() < MAX_LEASE_CANDIDATES
    }

    fn publish(&self, before: Option<HeldLease>, next: Option<HeldLease>) {
        if let Some(next) = next
            && before.is_none_or(|before| before.epoch != next.epoch)
        {
            info!("scheduler: acquired the lease, epoch {}", next.epoch);
            self.audit
                .record(AuditEvent::LeaseTaken { epoch: next.epoch });
            self.cache.request_refresh();
        }
        self.status.send_replace(SchedulerStatus { held: next });
    }
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_CALL_TIMEOUT
}
