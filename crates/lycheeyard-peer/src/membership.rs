use crate::{LeavingRunner, PeerReport};
use lycheeyard_protocol::{DataCentreId, InstanceId};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::Instant;

/// How long a peer counts as live after its last heartbeat.
const LIVE_FOR: Duration = Duration::from_secs(3);

/// What this instance knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The peer's last report.
    pub report: PeerReport,
    /// Until when the peer counts as live.
    pub live_until: Instant,
}

/// The peers that answer heartbeats, and the runners that any of them knows to leave.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    peers: Arc<Mutex<BTreeMap<InstanceId, PeerView>>>,
    leaving: Arc<Mutex<BTreeSet<LeavingRunner>>>,
}

impl Membership {
    /// Takes a peer's report in.
    pub fn observe(&self, report: PeerReport) {
        lock(&self.leaving).extend(report.leaving.iter().cloned());
        let view = PeerView {
            live_until: Instant::now() + LIVE_FOR,
            report,
        };
        lock(&self.peers).insert(view.report.instance.clone(), view);
    }

    /// Remembers that a runner leaves; this cannot be taken back for the same incarnation.
    pub fn mark_leaving(&self, runner: LeavingRunner) {
        lock(&self.leaving).insert(runner);
    }

    /// Whether a runner is known to leave.
    #[must_use]
    pub fn is_leaving(&self, runner: &LeavingRunner) -> bool {
        lock(&self.leaving).contains(runner)
    }

    /// All runners that are known to leave.
    #[must_use]
    pub fn leaving(&self) -> Vec<LeavingRunner> {
        lock(&self.leaving).iter().cloned().collect()
    }

    /// The peers that are live now.
    #[must_use]
    pub fn live_peers(&self) -> Vec<PeerView> {
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        peers.retain(|_, view| view.live_until > now);
        peers.values().cloned().collect()
    }

    /// The number of live peers in a data centre, this instance left out.
    #[must_use]
    pub fn live_in(&self, data_centre: &DataCentreId) -> usize {
        let peers = self.live_peers();
        let here = peers
            .iter()
            .filter(|view| view.report.data_centre == *data_centre);
        here.count()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
