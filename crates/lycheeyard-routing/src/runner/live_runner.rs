use crate::connection::ConnectionPool;
use lycheeyard_peer::LeavingRunner;
use lycheeyard_protocol::{Incarnation, RunnerId, ServiceId};
use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// A runner of this data centre.
#[derive(Debug)]
pub struct Runner {
    /// The runner's name.
    pub id: RunnerId,
    /// The service that it answers for.
    pub service: ServiceId,
    /// Its address.
    pub address: SocketAddr,
    /// Which life of the name this is.
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

    /// The life that this runner is in.
    #[must_use]
    pub fn life(&self) -> LeavingRunner {
        LeavingRunner {
            runner: self.id.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Counts a failed connection; gives the time for which the runner gets no new work.
    pub(crate) fn count_failure(&self) -> Duration {
        let failures = self.failures.fetch_add(1, Ordering::AcqRel);
        FIRST_PAUSE
            .saturating_mul(2_u32.saturating_pow(failures))
            .min(MAX_PAUSE)
    }

    /// Forgets earlier failures.
    pub(crate) fn count_success(&self) {
        if self.failures.load(Ordering::Relaxed) != 0 {
            self.failures.store(0, Ordering::Relaxed);
        }
    }
}
