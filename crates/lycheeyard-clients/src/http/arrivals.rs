use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// How long a link counts as busy after a part of a long response has arrived.
const BUSY_TIME: Duration = Duration::from_millis(100);

/// When parts of long responses last arrived from each address.
///
/// While they arrive, other responses from the same address may queue behind them on the link, so that a call without a response
/// says nothing about its connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    last: Arc<Mutex<BTreeMap<SocketAddr, Instant>>>,
}

impl Arrivals {
    /// Records that a part of a long response has arrived from `address`.
    pub fn record(&self, address: SocketAddr) {
        self.lock().insert(address, Instant::now());
    }

    /// Returns the time until which the link from `address` counts as busy.
    pub fn busy_until(&self, address: SocketAddr) -> Option<Instant> {
        let last = self.lock().get(&address).copied();
        last.map(|last| last + BUSY_TIME)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Instant>> {
        self.last.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
