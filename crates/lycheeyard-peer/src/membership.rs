use crate::{LeavingRunner, PeerReport};
use lycheeyard_protocol::{DataCentreId, InstanceId, Revision, Timestamp};
use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// How long a peer counts as live after its last heartbeat.
const LIVE_FOR: Duration = Duration::from_secs(3);
/// How long a silent peer is remembered, so that a report of an earlier life is recognised.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// The largest accepted age of a report, by its sender's clock; an older one waited in a queue while this
/// instance was paused.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// What this instance knows of a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// The peer's last report.
    pub report: PeerReport,
    /// When the peer was heard last.
    pub last_heartbeat_at: Instant,
    /// Until when the peer counts as live.
    pub live_until: Instant,
}

/// The peers that answer heartbeats, and the runners that any of them knows to leave.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    peers: Arc<Mutex<BTreeMap<InstanceId, PeerView>>>,
    leaving: Arc<Mutex<BTreeSet<LeavingRunner>>>,
    news: watch::Sender<u64>,
    newest: watch::Sender<Revision>,
}

impl Membership {
    /// Takes a report in with which a peer called. It proves that the peer's calls arrive here; the peer
    /// counts as live only if it also hears this instance.
    pub fn observe_call(&self, report: PeerReport, hears_callee: bool) {
        self.take(report, hears_callee);
    }

    /// Takes a report in with which a peer answered a call: both directions work.
    pub fn observe_answer(&self, report: PeerReport) {
        self.take(report, true);
    }

    /// Whether a peer was heard of late, be it that it does not hear this instance.
    #[must_use]
    pub fn has_recent_heartbeat_from(&self, instance: &str) -> bool {
        let now = Instant::now();
        let peers = lock(&self.peers);
        let heard = peers.iter().find(|(known, _)| known.as_str() == instance);
        heard.is_some_and(|(_, view)| view.last_heartbeat_at + LIVE_FOR > now)
    }

    /// Changes whenever this instance has something that its peers should hear at once.
    #[must_use]
    pub fn announcements(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells the heartbeats that peers should hear of something at once.
    pub fn announce(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// The newest revision of the configuration that any peer reported.
    #[must_use]
    pub fn newest_revision(&self) -> watch::Receiver<Revision> {
        self.newest.subscribe()
    }

    /// Remembers that a runner leaves; this cannot be taken back for the same incarnation.
    pub fn mark_leaving(&self, runner: LeavingRunner) {
        if lock(&self.leaving).insert(runner) {
            self.announce();
        }
    }

    /// Forgets the marks of runners whose marked life is over, as `is_current` tells.
    pub fn prune_leaving(&self, is_current: impl Fn(&LeavingRunner) -> bool) {
        lock(&self.leaving).retain(|runner| is_current(runner));
    }

    fn take(&self, report: PeerReport, two_way: bool) {
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
            live_until: if two_way { now + LIVE_FOR } else { live_until },
            report,
        };
        let revision = view.report.revision;
        let has_news = self.learn_leaving(&view.report);
        peers.insert(view.report.instance.clone(), view);
        drop(peers);
        if has_news {
            self.announce();
        }
        if two_way {
            self.raise_newest(revision);
        }
    }

    /// Only live peers count, since only they are asked for what they have.
    fn raise_newest(&self, revision: Revision) {
        self.newest.send_if_modified(|newest| {
            let is_newer = revision > *newest;
            *newest = revision.max(*newest);
            is_newer
        });
    }

    fn learn_leaving(&self, report: &PeerReport) -> bool {
        let mut leaving = lock(&self.leaving);
        let before = leaving.len();
        leaving.extend(report.leaving.iter().cloned());
        leaving.len() > before
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
        peers.retain(|_, view| view.last_heartbeat_at + FORGET_AFTER > now);
        let live = peers.values().filter(|view| view.live_until > now);
        live.cloned().collect()
    }

    /// The number of live peers in a data centre, this instance left out.
    #[must_use]
    pub fn live_peer_count(&self, data_centre: &DataCentreId) -> usize {
        let peers = self.live_peers();
        let here = peers
            .iter()
            .filter(|view| view.report.data_centre == *data_centre);
        here.count()
    }
}

/// Whether a report is of an earlier life, or of an earlier time of the same life, than a known one.
fn is_older(report: &PeerReport, known: &PeerReport) -> bool {
    (report.incarnation, report.sent_at) < (known.incarnation, known.sent_at)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
