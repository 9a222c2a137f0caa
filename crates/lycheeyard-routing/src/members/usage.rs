use lycheeyard_peer::OrganisationUsage;
use lycheeyard_protocol::{InstanceId, OrganisationId};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

const PEER_USAGE_TTL: Duration = Duration::from_secs(4);

type Usage = BTreeMap<OrganisationId, OrganisationUsage>;

#[derive(Debug, Default)]
struct State {
    own: Usage,
    peers: BTreeMap<InstanceId, (Instant, Usage)>,
}

/// The usage of each organisation at this instance and at its peers in this data centre.
#[derive(Debug, Default)]
pub(crate) struct UsageTable {
    state: Mutex<State>,
}

impl UsageTable {
    /// Replaces the usage at this instance.
    pub fn set_own(&self, usage: Usage) {
        self.lock().own = usage;
    }

    /// Returns the usage at this instance.
    pub fn own(&self) -> Usage {
        self.lock().own.clone()
    }

    /// Records the usage that a peer reported, which expires after [`PEER_USAGE_TTL`].
    pub fn set_peer(&self, peer: InstanceId, usage: Usage) {
        let expires_at = Instant::now() + PEER_USAGE_TTL;
        self.lock().peers.insert(peer, (expires_at, usage));
    }

    /// Returns the sum of the unexpired usage of all peers.
    pub fn peer_total(&self) -> Usage {
        let now = Instant::now();
        let mut state = self.lock();
        state.peers.retain(|_, (expires_at, _)| *expires_at > now);
        let mut total_usage = Usage::new();
        for (id, used) in state.peers.values().flat_map(|(_, usage)| usage) {
            let total = total_usage.entry(id.clone()).or_default();
            total.running += used.running;
            total.rate += used.rate;
        }
        total_usage
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
