use crate::{PeerReport, RunnerIncarnation, lock::lock};
use lycheeyard_protocol::{DataCentreId, InstanceId, Revision, Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// The time for which a peer counts as live after its last heartbeat.
const LIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for which a silent peer is kept, so that a delayed report of an earlier incarnation is
/// recognised.
const SILENT_PEER_RETENTION: Duration = Duration::from_secs(600);

/// The maximum accepted age of a report, from the sender's timestamp. An older report was queued while
/// this instance was paused.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// The state of a peer as observed by this instance.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The peer's last report.
    pub report: PeerReport,
    /// When the last heartbeat or answer of the peer arrived.
    pub last_heartbeat_at: Instant,
    /// The time until which the peer counts as live.
    pub live_until: Instant,
}

/// The peers that exchange heartbeats with this instance, and the runners that any of them reports as
/// leaving.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    peers: Arc<Mutex<BTreeMap<InstanceId, PeerView>>>,
    leaving: Arc<Mutex<BTreeSet<RunnerIncarnation>>>,
    announcements: watch::Sender<u64>,
    newest_revision: watch::Sender<Revision>,
}

impl Membership {
    /// Records the report of a peer's call. The call shows only that traffic from the peer arrives here, so the
    /// peer counts as live only if it also receives traffic from this instance.
    pub fn observe_call(&self, report: PeerReport, receives_from_this_instance: bool) {
        self.record(report, receives_from_this_instance);
    }

    /// Records the report of a peer's answer to a call. An answer shows that both directions work.
    pub fn observe_answer(&self, report: PeerReport) {
        self.record(report, true);
    }

    /// Whether a heartbeat or answer of the peer arrived recently. This also holds for a peer that receives
    /// nothing from this instance.
    #[must_use]
    pub fn has_recent_heartbeat_from(&self, instance: &str) -> bool {
        let now = Instant::now();
        let peers = lock(&self.peers);
        let peer = peers.iter().find(|(name, _)| name.as_str() == instance);
        peer.is_some_and(|(_, view)| view.last_heartbeat_at + LIVE_TIMEOUT > now)
    }

    /// Subscribes to a counter that increases whenever this instance must send heartbeats to its peers at once.
    #[must_use]
    pub fn announcements(&self) -> watch::Receiver<u64> {
        self.announcements.subscribe()
    }

    /// Requests heartbeats to the peers at once, so that they receive a change of this instance's report.
    pub fn announce(&self) {
        self.announcements.send_modify(|count| *count += 1);
    }

    /// The newest configuration revision that any live peer has reported.
    #[must_use]
    pub fn newest_revision(&self) -> watch::Receiver<Revision> {
        self.newest_revision.subscribe()
    }

    /// Marks a runner as leaving. The mark is permanent for the runner's incarnation.
    pub fn mark_leaving(&self, runner: RunnerIncarnation) {
        if lock(&self.leaving).insert(runner) {
            self.announce();
        }
    }

    /// Removes the marks of incarnations that have ended: those for which `is_current` returns `false`.
    pub fn prune_leaving(&self, is_current: impl Fn(&RunnerIncarnation) -> bool) {
        lock(&self.leaving).retain(|runner| is_current(runner));
    }

    fn record(&self, report: PeerReport, is_bidirectional: bool) {
        let age = Timestamp::now().since(report.sent_at);
        if age > MAX_REPORT_AGE {
            return;
        }
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        let known = peers.get(&report.instance);
        if known.is_some_and(|known| is_older(&report, &known.report)) {
            return;
        }
        let live_until = known.map_or(now, |known| known.live_until);
        let view = PeerView {
            last_heartbeat_at: now,
            live_until: if is_bidirectional {
                now + LIVE_TIMEOUT
            } else {
                live_until
            },
            report,
        };
        let revision = view.report.revision;
        let has_new_leaving = self.record_leaving(&view.report);
        peers.insert(view.report.instance.clone(), view);
        drop(peers);
        if has_new_leaving {
            self.announce();
        }
        if is_bidirectional {
            self.raise_newest_revision(revision);
        }
    }

    /// Is called for reports of live peers only, since configuration updates are requested only from live peers.
    fn raise_newest_revision(&self, revision: Revision) {
        self.newest_revision.send_if_modified(|newest| {
            let is_newer = revision > *newest;
            *newest = revision.max(*newest);
            is_newer
        });
    }

    fn record_leaving(&self, report: &PeerReport) -> bool {
        let mut leaving = lock(&self.leaving);
        let known_count = leaving.len();
        leaving.extend(report.leaving.iter().cloned());
        leaving.len() > known_count
    }

    /// Whether a runner is marked as leaving.
    #[must_use]
    pub fn is_leaving(&self, runner: &RunnerIncarnation) -> bool {
        lock(&self.leaving).contains(runner)
    }

    /// All runners that are marked as leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<RunnerIncarnation> {
        lock(&self.leaving).iter().cloned().collect()
    }

    /// The peers that are live at the moment.
    #[must_use]
    pub fn live_peers(&self) -> Vec<PeerView> {
        let now = Instant::now();
        let mut peers = lock(&self.peers);
        peers.retain(|_, view| view.last_heartbeat_at + SILENT_PEER_RETENTION > now);
        let live = peers.values().filter(|view| view.live_until > now);
        live.cloned().collect()
    }

    /// The number of live peers in a data centre, without this instance.
    #[must_use]
    pub fn live_peer_count(&self, data_centre: &DataCentreId) -> usize {
        let peers = self.live_peers();
        let in_data_centre = peers
            .iter()
            .filter(|view| view.report.data_centre == *data_centre);
        in_data_centre.count()
    }
}

/// Whether a report is from an earlier incarnation than a known one, or from an earlier time of the same
/// incarnation.
fn is_older(report: &PeerReport, known: &PeerReport) -> bool {
    (report.incarnation, report.sent_at) < (known.incarnation, known.sent_at)
}
