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
/// How long an idle connection is trusted after its last answer.
const IDLE_TRUST: Duration = Duration::from_secs(3);
/// How recent the last answer must be for a connection to carry a non-idempotent request.
const JUST_PROVEN: Duration = Duration::from_millis(100);

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Freshness {
    /// Any connection that is trusted.
    Trusted,
    /// A new connection or one that has just carried an answer.
    JustProven,
    /// A new connection.
    New,
}

/// The connections of this instance to one upstream.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    places: Arc<Semaphore>,
    limit: Mutex<usize>,
}

impl ConnectionPool {
    /// Makes an empty pool that holds up to `limit` connections, those in use included.
    pub fn new(address: SocketAddr, limit: usize) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            places: Arc::new(Semaphore::new(limit)),
            limit: Mutex::new(limit),
        }
    }

    /// The upstream's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the limit; where it shrinks, idle connections are closed first.
    pub fn set_limit(&self, limit: usize) {
        let mut present = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        if limit >= *present {
            self.places.add_permits(limit - *present);
            *present = limit;
            return;
        }
        let excess = *present - limit;
        let forgotten = self.places.forget_permits(excess);
        *present -= forgotten;
        if forgotten < excess {
            self.lock().truncate(limit);
        }
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    /// Fails when the upstream is out of reach or all connections are in use.
    pub async fn take(
        &self,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<Connection, DialError> {
        if let Some(connection) = self.take_idle(freshness) {
            return Ok(connection);
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        if self.places.available_permits() == 0 {
            self.lock().pop();
        }
        let place = timeout_at(until, self.places.clone().acquire_owned()).await;
        let Ok(Ok(place)) = place else {
            return Err(DialError::NoneFree);
        };
        dial(self.address, place, until).await
    }

    /// Puts a connection back whose answer was read to its end.
    pub fn put_back(&self, mut connection: Connection) {
        connection.proven_at = Instant::now();
        self.lock().push(connection);
    }

    /// Closes the idle connections that have given no answer since a silent try began.
    pub fn distrust(&self, began_at: Instant) {
        self.lock()
            .retain(|connection| connection.proven_at > began_at);
    }

    /// Closes idle connections that are no longer trusted.
    pub fn close_stale(&self) {
        let now = Instant::now();
        self.lock().retain(|connection| is_trusted(connection, now));
    }

    fn take_idle(&self, freshness: Freshness) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.lock();
        if freshness == Freshness::New {
            return None;
        }
        while let Some(connection) = idle.pop() {
            if !is_trusted(&connection, now) {
                continue;
            }
            if freshness == Freshness::JustProven && now > connection.proven_at + JUST_PROVEN {
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

fn is_trusted(connection: &Connection, now: Instant) -> bool {
    connection.sender.is_ready() && now < connection.proven_at + IDLE_TRUST
}
