use crate::{DataCentreMembers, SchedulerSettings, SchedulerStatus, records::JobCache};
use lycheeyard_clients::Store;
use lycheeyard_protocol::{AuditEvent, InstanceId};
use lycheeyard_state::{AuditTrail, HeldLease, LeaseOutcome, SchedulerLease};
use std::time::Duration;
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

const STORE_CALL: Duration = Duration::from_millis(800);

/// Attempts in one lease.
const TRIES_PER_LEASE: u32 = 6;

/// The number of live instances of a data centre, the first by name, that try to take its lease; the
/// calls of the rest would grow with the fleet.
const STANDBYS: usize = 2;

/// Takes and renews the scheduler lease, apart from the rounds, so that a slow round does not lose it.
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
    /// Makes a keeper that tells `status` what it holds.
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

    /// Keeps the lease until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.step().await;
            tokio::select! {
                () = stop.cancelled() => {}
                () = tokio::time::sleep(self.duration / TRIES_PER_LEASE) => {}
            }
        }
    }

    /// Gives a held lease up; no side effect may follow.
    pub async fn resign(&self) {
        let held = self.status.send_replace(SchedulerStatus::default()).held;
        let Some(held) = held else { return };
        match self.lease.resign(held, store_deadline()).await {
            Ok(()) => self
                .audit
                .record(AuditEvent::LeaseResigned { epoch: held.epoch }),
            Err(err) => warn!("scheduler: lease left to lapse: {err}"),
        }
    }

    async fn step(&self) {
        let now = Instant::now();
        let known = self.status.borrow().held;
        let held = known.filter(|held| held.valid_until > now);
        if held.is_some_and(|held| held.valid_until - now > self.duration / 2) {
            return;
        }
        if known.is_some() && held.is_none() {
            warn!("scheduler: lease lapsed");
        }
        if held.is_none() && !self.is_standby() {
            return self.tell(None, None);
        }
        let next = match self.lease.acquire(held, store_deadline()).await {
            Ok(LeaseOutcome::Held(next)) => Some(next),
            Ok(LeaseOutcome::NotHeld) => None,
            Err(err) => {
                warn!("scheduler: lease not renewed: {err}");
                held
            }
        };
        self.tell(held, next);
    }

    fn is_standby(&self) -> bool {
        let members = self.members.borrow();
        let before = members.live.iter().filter(|peer| **peer < self.instance);
        before.count() < STANDBYS
    }

    fn tell(&self, before: Option<HeldLease>, next: Option<HeldLease>) {
        if let Some(next) = next
            && before.is_none_or(|before| before.epoch != next.epoch)
        {
            info!("scheduler: lease taken, epoch {}", next.epoch);
            self.audit
                .record(AuditEvent::LeaseTaken { epoch: next.epoch });
            self.cache.request_refresh();
        }
        self.status.send_replace(SchedulerStatus { held: next });
    }
}

fn store_deadline() -> Instant {
    Instant::now() + STORE_CALL
}
