use super::ControlError;
use lycheeyard_entry::{EntryNode, StartupAction, read_settings};
use lycheeyard_protocol::{DataCentreId, InstanceId, Revision};
use lycheeyard_scheduler::SchedulerStatus;
use lycheeyard_standin::{Link, LinkState};
use lycheeyard_state::Configuration;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{sync::watch, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";
const LEASE_MS: u64 = 3000;

/// One entry instance of a fleet, run as tasks of this process.
#[derive(Debug)]
pub struct FleetMember {
    /// The name of the instance.
    pub instance: InstanceId,
    /// The data centre of the instance.
    pub data_centre: DataCentreId,
    /// The address for callers and operators.
    pub address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    store_link: Link,
    config: watch::Receiver<Arc<Configuration>>,
    scheduler: watch::Receiver<SchedulerStatus>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl FleetMember {
    /// Starts an instance whose link to the store can be partitioned.
    ///
    /// # Errors
    /// Fails when the settings are invalid or a socket cannot be opened.
    pub async fn start(
        instance: InstanceId,
        data_centre: DataCentreId,
        store: SocketAddr,
        instances: SocketAddr,
    ) -> Result<Self, ControlError> {
        let store_link = Link::start(store).await?;
        let args = [
            format!("--instance={instance}"),
            format!("--data-centre={data_centre}"),
            format!("--store={}", store_link.address()),
            format!("--instances={instances}"),
            format!("--listen={LOOPBACK_ANY_PORT}"),
            format!("--peer-listen={LOOPBACK_ANY_PORT}"),
            format!("--scheduler-lease-ms={LEASE_MS}"),
            "--drain-ms=0".to_owned(),
            "--access=open".to_owned(),
        ];
        let StartupAction::Run(settings) = read_settings(&args, &BTreeMap::new())? else {
            return Err(ControlError::TimedOut("the start of an instance"));
        };
        let node = EntryNode::bind(*settings).await?;
        let stop = CancellationToken::new();
        Ok(Self {
            instance,
            data_centre,
            address: node.address(),
            peer_address: node.peer_address(),
            store_link,
            config: node.configuration(),
            scheduler: node.scheduler(),
            task: tokio::spawn(node.run(stop.clone())),
            stop,
        })
    }

    /// The configuration revision that is in effect at this instance.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.config.borrow().revision
    }

    /// Whether this instance holds an unexpired scheduler lease.
    #[must_use]
    pub fn holds_lease(&self) -> bool {
        let now = tokio::time::Instant::now();
        self.scheduler.borrow().valid_lease(now).is_some()
    }

    /// Partitions the instance from the store, or heals the partition.
    pub fn set_store_partitioned(&self, partitioned: bool) {
        self.store_link.set(LinkState::silent_if(partitioned));
    }

    /// Waits until a revision is in effect at this instance.
    ///
    /// # Errors
    /// Fails when that takes longer than `limit`.
    pub async fn wait_for_revision(
        &self,
        revision: Revision,
        limit: Duration,
    ) -> Result<(), ControlError> {
        let mut config = self.config.clone();
        let reached = config.wait_for(|config| config.revision >= revision);
        let reached = timeout(limit, reached).await;
        reached
            .ok()
            .and_then(Result::ok)
            .map(|_| ())
            .ok_or(ControlError::TimedOut(
                "a configuration revision to take effect",
            ))
    }

    /// Stops the instance and waits until it has ended.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}
