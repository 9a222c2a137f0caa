use super::{Connection, DialError, dial::dial};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::Semaphore,
    time::{Instant, timeout_at},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The time after its last answer at which an idle connection is no longer used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest time since the last answer for a connection to carry a non-idempotent request.
const MAX_VERIFIED_AGE: Duration = Duration::from_millis(100);

/// How recently a connection must have been verified to carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// A new connection or an idle one within its timeout.
    Usable,
    /// A new connection or one that has carried an answer within [`MAX_VERIFIED_AGE`].
    RecentlyVerified,
    /// A new connection.
    New,
}

/// The connections of this instance to one upstream.
///
/// The limit applies to idle and busy connections together.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
    limit: Mutex<usize>,
}

impl ConnectionPool {
    /// Creates an empty pool with a limit on its connections.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            permits: Arc::new(Semaphore::new(limit)),
            limit: Mutex::new(limit),
        }
    }

    /// Returns the upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit.
    ///
    /// If the limit shrinks by more than the unused permits, idle connections beyond it are closed.
    pub fn set_limit(&self, limit: usize) {
        let mut current = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if limit >= *current {
            self.permits.add_permits(limit - *current);
            *current = limit;
            return;
        }
        let excess = *current - limit;
        let removed = self.permits.forget_permits(excess);
        *current -= removed;
        if removed < excess {
            self.lock().truncate(limit);
        }
    }

    /// Takes an idle connection of the requested freshness or opens a new one, if `may_dial` still allows that after
    /// the wait for a permit.
    ///
    /// # Errors
    /// Returns an error if the upstream is unreachable, all connections are in use or a new one is not allowed.
    pub async fn acquire(
        &self,
        freshness: Freshness,
        deadline: Instant,
        may_dial: impl Fn() -> bool,
    ) -> Result<Connection, DialError> {
        if let Some(connection) = self.take_idle(freshness) {
            return Ok(connection);
        }
        let dial_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        if self.permits.available_permits() == 0 {
            // Closes an idle connection that is not fresh enough, so that its permit becomes available.
            self.lock().pop();
        }
        let permit = timeout_at(dial_deadline, self.permits.clone().acquire_owned()).await;
        let Ok(Ok(permit)) = permit else {
            return Err(DialError::LimitReached);
        };
        if !may_dial() {
            return Err(DialError::NotAllowed);
        }
        dial(self.address, permit, dial_deadline).await
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn put_back(&self, mut connection: Connection) {
        connection.verified_at = Instant::now();
        self.lock().push(connection);
    }

    /// Closes the idle connections that have carried no answer since `started_at`, when a try began that received no
    /// answer in time.
    pub fn close_unverified_since(&self, started_at: Instant) {
        self.lock()
            .retain(|connection| connection.verified_at > started_at);
    }

    /// Closes the idle connections that are past their timeout or closed by the upstream.
    pub fn close_stale(&self) {
        let now = Instant::now();
        self.lock().retain(|connection| is_usable(connection, now));
    }

    fn take_idle(&self, freshness: Freshness) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        if freshness == Freshness::New {
            return None;
        }
        while let Some(connection) = idle.pop() {
            if !is_usable(&connection, now) {
                continue;
            }
            if freshness == Freshness::RecentlyVerified
                && now > connection.verified_at + MAX_VERIFIED_AGE
            {
                idle.push(connection);
                return None;
            }
            return Some(connection);
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_usable(connection: &Connection, now: Instant) -> bool {
    connection.sender.is_ready() && now < connection.verified_at + IDLE_TIMEOUT
}
