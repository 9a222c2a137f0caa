use super::ask_silent_peers;
use crate::Settings;
use lycheeyard_clients::HttpStore;
use lycheeyard_peer::{Membership, PeerConnections, PeerReport};
use lycheeyard_protocol::{Epoch, InstanceStatus, StatusReport, Timestamp, platform::InstanceList};
use lycheeyard_routing::{Router, RunnerTable};
use lycheeyard_scheduler::{DataCentreMembers, SchedulerStatus, WorkerTable};
use lycheeyard_state::{
    AuditLog, AuditTrail, ConfigFollower, Configuration, JobStore, TicketStore,
};
use std::sync::Arc;
use tokio::{
    sync::{Semaphore, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

/// What every part of an entry instance uses.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub settings: Arc<Settings>,
    pub config: ConfigFollower,
    pub connections: PeerConnections,
    pub instances: watch::Sender<InstanceList>,
    pub store: HttpStore,
    pub tickets: TicketStore<HttpStore>,
    pub jobs: JobStore<HttpStore>,
    pub membership: Membership,
    pub audit: AuditTrail,
    pub audit_log: AuditLog<HttpStore>,
    pub runners: RunnerTable,
    pub workers: WorkerTable,
    pub router: Router<HttpStore>,
    pub body_memory: Arc<Semaphore>,
    pub scheduler: watch::Receiver<SchedulerStatus>,
    pub members: watch::Sender<DataCentreMembers>,
    pub stopping: CancellationToken,
}

impl Shared {
    /// The configuration in force here.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.config.current()
    }

    /// What this instance tells its peers.
    pub fn peer_report(&self) -> PeerReport {
        PeerReport {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            revision: self.configuration().revision,
            scheduler_epoch: self.held_epoch(),
            leaving: self.membership.leaving(),
            sent_at: Timestamp::now(),
        }
    }

    /// The scheduler epoch while it may act on it; an instance that was paused may still know an old one.
    fn held_epoch(&self) -> Option<Epoch> {
        let held = self.scheduler.borrow().held;
        let valid = held.filter(|held| held.valid_until > Instant::now());
        valid.map(|held| held.epoch)
    }

    /// What this instance tells operators of all listed instances that answer.
    pub async fn status(&self) -> StatusReport {
        let list = self.instances.borrow().clone();
        ask_silent_peers(self, &list).await;
        let peers = self.membership.live_peers();
        StatusReport {
            instance: instance_status(self.peer_report()),
            peers: peers
                .into_iter()
                .map(|view| instance_status(view.report))
                .collect(),
        }
    }

    /// Whether callers should be sent here: a configuration is in force and the runners are known.
    pub fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.router.is_initialised()
    }
}

fn instance_status(report: PeerReport) -> InstanceStatus {
    InstanceStatus {
        instance: report.instance,
        data_centre: report.data_centre,
        revision: report.revision,
        scheduler_epoch: report.scheduler_epoch,
    }
}
