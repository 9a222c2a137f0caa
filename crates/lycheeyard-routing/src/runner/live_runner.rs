use crate::connection::ConnectionPool;
use lycheeyard_peer::RunnerIncarnation;
use lycheeyard_protocol::{Incarnation, RunnerId, ServiceId};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

const INITIAL_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// A runner of this data centre.
#[derive(Debug)]
pub struct Runner {
    /// The runner's name.
    pub id: RunnerId,
    /// The service that the runner serves.
    pub service: ServiceId,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The number of this incarnation of the name.
    pub incarnation: Incarnation,
    pub(crate) pool: ConnectionPool,
    failures: AtomicU32,
}

impl Runner {
    pub(crate) fn new(
        id: RunnerId,
        service: ServiceId,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        const INITIAL_CONNECTIONS: usize = 1;
        Self {
            id,
            service,
            address,
            incarnation,
            pool: ConnectionPool::new(address, INITIAL_CONNECTIONS),
            failures: AtomicU32::new(0),
        }
    }

    /// Returns the runner's name and incarnation, which distinguish it from earlier runners of the same name.
    #[must_use]
    pub fn incarnation_id(&self) -> RunnerIncarnation {
        RunnerIncarnation {
            runner: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Records a failed connection attempt and returns the time for which the runner gets no new requests.
    pub(crate) fn record_failure(&self) -> Duration {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel);
        INITIAL_PAUSE
            .saturating_mul(2_u32.saturating_pow(failures))
            .min(MAX_PAUSE)
    }

    /// Resets the failure count.
    pub(crate) fn record_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }
}
