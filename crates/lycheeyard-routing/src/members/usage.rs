use lycheeyard_peer::OrganisationUsage;
use lycheeyard_protocol::{InstanceId, OrganisationId};
use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

const VALID_FOR: Duration = Duration::from_secs(4);

type Usage = BTreeMap<OrganisationId, OrganisationUsage>;

#[derive(Debug, Default)]
struct Known {
    own: Usage,
    peers: BTreeMap<InstanceId, (Instant, Usage)>,
}

/// What the organisations use here and at the peers of this data centre.
#[derive(Debug, Default)]
pub(crate) struct PeerUsage {
    known: Mutex<Known>,
}

impl PeerUsage {
    /// Replaces what is used here.
    pub fn set_own(&self, usage: Usage) {
        self.lock().own = usage;
    }

    /// What is used here.
    pub fn own(&self) -> Usage {
        self.lock().own.clone()
    }

    /// Takes in what is used at a peer.
    pub fn observe(&self, peer: InstanceId, usage: Usage) {
        let valid_until = Instant::now() + VALID_FOR;
        self.lock().peers.insert(peer, (valid_until, usage));
    }

    /// What is used at all peers together.
    pub fn peers(&self) -> Usage {
        let now = Instant::now();
        let mut known = self.lock();
        known.peers.retain(|_, (valid_until, _)| *valid_until > now);
        let mut sum = Usage::new();
        for (id, used) in known.peers.values().flat_map(|(_, usage)| usage) {
            let total = sum.entry(id.clone()).or_default();
            total.running += used.running;
            total.rate += used.rate;
        }
        sum
    }

    fn lock(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
