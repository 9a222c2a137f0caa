use super::{evacuations::evacuation_statuses, poll_silent_peers};
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
use tokio::{sync::watch, time::Instant};
use tokio_util::sync::CancellationToken;

/// The settings, state and clients that the components of an entry instance share.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub settings: Arc<Settings>,
    pub config: ConfigFollower,
    pub connections: PeerConnections,
    /// The instance list that was last read from the platform.
    pub instances: watch::Sender<InstanceList>,
    pub store: HttpStore,
    pub tickets: TicketStore<HttpStore>,
    pub jobs: JobStore<HttpStore>,
    pub membership: Membership,
    /// Collects the audit events of this instance until they are written.
    pub audit: AuditTrail,
    /// Writes the collected events to the store and reads the audit entries of all instances.
    pub audit_log: AuditLog<HttpStore>,
    pub runners: RunnerTable,
    pub workers: WorkerTable,
    pub router: Router<HttpStore>,
    pub scheduler: watch::Receiver<SchedulerStatus>,
    /// The other instances of this data centre, for the scheduler.
    pub members: watch::Sender<DataCentreMembers>,
    /// Cancelled when draining begins.
    pub stopping: CancellationToken,
}

impl Shared {
    /// The configuration in force at this instance.
    pub fn configuration(&self) -> Arc<Configuration> {
        self.config.current()
    }

    /// The report that this instance sends to its peers in a heartbeat.
    pub fn peer_report(&self) -> PeerReport {
        PeerReport {
            instance: self.settings.instance.clone(),
            incarnation: self.settings.incarnation,
            data_centre: self.settings.data_centre.clone(),
            revision: self.configuration().revision,
            scheduler_epoch: self.held_epoch(),
            leaving: self.membership.leaving(),
            requests_in_flight: self.router.in_flight(),
            sent_at: Timestamp::now(),
        }
    }

    /// The scheduler epoch that this instance holds, if its lease is still valid.
    ///
    /// The validity is checked here, since an instance whose process was paused may still record an expired epoch.
    fn held_epoch(&self) -> Option<Epoch> {
        let valid = self.scheduler.borrow().valid_lease(Instant::now());
        valid.map(|held| held.epoch)
    }

    /// The status report for operators: this instance and all listed instances that answer.
    pub async fn status(&self) -> StatusReport {
        let list = self.instances.borrow().clone();
        poll_silent_peers(self, &list).await;
        let peers = self.membership.live_peers().into_iter();
        let instance = instance_status(self.peer_report());
        let peers: Vec<InstanceStatus> = peers.map(|view| instance_status(view.report)).collect();
        let instances: Vec<&InstanceStatus> = std::iter::once(&instance).chain(&peers).collect();
        let evacuations = evacuation_statuses(self, &instances).await;
        StatusReport {
            instance,
            peers,
            evacuations,
        }
    }

    /// Whether callers should be sent to this instance: it has a configuration and a non-empty instance list, and
    /// it is not draining.
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
        requests_in_flight: report.requests_in_flight,
    }
}
