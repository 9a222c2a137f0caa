use super::{
    NodeError, Shared,
    follow_config::{confirm_for_scheduler, follow_peers, poll_store, watch_store},
    heartbeats::send_heartbeats,
    periodic::{follow_list, write_audit},
};
use crate::{Settings, api::serve_api};
use lycheeyard_clients::{
    Connections, HttpInstanceDirectory, HttpStore, HttpWorkers, ListenerKind,
};
use lycheeyard_logs::export_dropped_lines;
use lycheeyard_metrics::start_metrics;
use lycheeyard_peer::{Membership, PeerConnections, PeerListener, serve_peers};
use lycheeyard_protocol::{Epoch, platform::InstanceList};
use lycheeyard_routing::{Router, RouterSettings, RunnerTable};
use lycheeyard_scheduler::{
    DataCentreMembers, Scheduler, SchedulerInputs, SchedulerSettings, SchedulerStatus, WorkerTable,
};
use lycheeyard_state::{
    AuditLog, AuditTrail, ConfigFollower, Configuration, JobStore, TicketStore,
};
use std::{net::SocketAddr, sync::Arc};
use tokio::{net::TcpListener, sync::watch};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};

/// An entry instance whose listening sockets are open.
#[derive(Debug)]
pub struct EntryNode {
    shared: Shared,
    scheduler: Scheduler<HttpStore, HttpWorkers>,
    config_epoch: watch::Sender<Option<Epoch>>,
    api: TcpListener,
    peers: TcpListener,
    address: SocketAddr,
    peer_address: SocketAddr,
}

impl EntryNode {
    /// Opens the listening sockets and constructs the components. No background task runs and no call is
    /// served before [`run`](Self::run).
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn bind(settings: Settings) -> Result<Self, NodeError> {
        start_metrics();
        export_dropped_lines();
        let (api, address) = listen(settings.listen).await?;
        let (peers, peer_address) = listen(settings.peer_listen).await?;
        let store = HttpStore::new(settings.store);
        let membership = Membership::default();
        let data_centre = settings.data_centre.clone();
        let runners = RunnerTable::new(data_centre.clone(), membership.clone());
        let workers = WorkerTable::new(data_centre.clone());
        let config = ConfigFollower::default();
        let config_epoch = watch::Sender::new(None);
        let members = watch::Sender::new(DataCentreMembers::default());
        let audit = AuditTrail::new(data_centre.clone(), settings.instance.clone());
        let scheduler = Scheduler::new(
            SchedulerSettings::new(
                data_centre.clone(),
                settings.instance.clone(),
                settings.scheduler_lease,
            ),
            store.clone(),
            HttpWorkers::default(),
            SchedulerInputs {
                table: workers.clone(),
                config: config.subscribe(),
                config_epoch: config_epoch.subscribe(),
                members: members.subscribe(),
            },
            audit.clone(),
        );
        let router = Router::new(
            RouterSettings {
                instance: settings.instance.clone(),
                data_centre,
            },
            membership.clone(),
            runners.clone(),
            config.subscribe(),
            store.clone(),
        );
        let shared = Shared {
            tickets: TicketStore::new(store.clone()),
            jobs: JobStore::new(store.clone()),
            audit_log: AuditLog::new(store.clone(), audit.clone()),
            store,
            router,
            scheduler: scheduler.status(),
            members,
            settings: Arc::new(settings),
            stopping: CancellationToken::new(),
            config,
            connections: PeerConnections::default(),
            instances: watch::Sender::new(InstanceList::default()),
            membership,
            audit,
            runners,
            workers,
        };
        Ok(Self {
            shared,
            scheduler,
            config_epoch,
            api,
            peers,
            address,
            peer_address,
        })
    }

    /// The address for callers and operators.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address for calls between entry instances.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Subscribes to the configuration in force at this instance.
    #[must_use]
    pub fn configuration(&self) -> watch::Receiver<Arc<Configuration>> {
        self.shared.config.subscribe()
    }

    /// Subscribes to the scheduler status, which shows whether this instance holds the scheduler lease.
    #[must_use]
    pub fn scheduler(&self) -> watch::Receiver<SchedulerStatus> {
        self.shared.scheduler.clone()
    }

    /// Runs until `stop` is cancelled, then completes the requests in flight and releases the scheduler lease.
    pub async fn run(self, stop: CancellationToken) {
        let Self {
            shared,
            scheduler,
            config_epoch,
            api,
            peers,
            address,
            peer_address,
        } = self;
        let instance = &shared.settings.instance;
        info!("entry: {instance} listens on {address}, for peers on {peer_address}");
        let background = CancellationToken::new();
        let limits = shared.settings.connections;
        let accepted = Connections::new(limits.request_bytes);
        let reporter = shared.clone();
        let list = shared.instances.clone();
        let directory = HttpInstanceDirectory::new(shared.settings.instances);
        let heartbeats = send_heartbeats(shared.clone(), list.subscribe(), background.clone());
        let tasks = [
            tokio::spawn(follow_peers(
                shared.clone(),
                list.subscribe(),
                background.clone(),
            )),
            tokio::spawn(watch_store(shared.clone(), background.clone())),
            tokio::spawn(confirm_for_scheduler(
                shared.clone(),
                config_epoch,
                background.clone(),
            )),
            tokio::spawn(poll_store(shared.clone(), background.clone())),
            tokio::spawn(write_audit(shared.clone(), background.clone())),
            tokio::spawn(heartbeats),
            tokio::spawn(follow_list(
                shared.clone(),
                directory,
                list,
                background.clone(),
            )),
            tokio::spawn(scheduler.run(stop.clone())),
            tokio::spawn(shared.router.clone().run(background.clone())),
            tokio::spawn(serve_peers(
                PeerListener {
                    listener: peers,
                    connections: accepted.clone(),
                    limits: limits.listener(ListenerKind::Peers),
                    client_limits: shared.settings.client_limits,
                },
                shared.membership.clone(),
                shared.config.clone(),
                move || reporter.peer_report(),
                shared.router.clone(),
                background.clone(),
            )),
        ];
        serve_api(api, shared.clone(), accepted, stop).await;
        background.cancel();
        for task in tasks {
            if let Err(err) = task.await {
                warn!("entry: a background task failed: {err}");
            }
        }
        info!("entry: {} stopped", shared.settings.instance);
    }
}

async fn listen(requested: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let listen_error = |source| NodeError::Listen {
        address: requested,
        source,
    };
    let listener = TcpListener::bind(requested).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, address))
}
