use super::event::{Event, EventSender};
use crate::{
    clock::Clock,
    metrics::record_maintenance,
    ports::{MachineCallError, MachineCalls},
};
use lycheeyard_jobs::{MachineInfo, MaintenanceAnswer, MaintenanceOrder};
use lycheeyard_protocol::{Epoch, InstanceId};
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The machines are listed this often while that is wanted.
const LIST_EVERY: Duration = Duration::from_millis(700);

/// Lists the machines while that is wanted.
pub(super) struct MachineLister<M, C> {
    pub calls: M,
    pub clock: C,
    pub wanted: watch::Receiver<bool>,
    pub events: EventSender,
}

impl<M: MachineCalls, C: Clock> MachineLister<M, C> {
    /// Runs until nobody listens.
    pub async fn run(mut self) {
        let mut reachable = true;
        while self.wanted.wait_for(|wanted| *wanted).await.is_ok() {
            let asked_at = self.clock.boot();
            match self.list_all().await {
                Ok(machines) => {
                    if !reachable {
                        info!("machines: they are listed again");
                    }
                    reachable = true;
                    let event = Event::MachinesListed(machines, asked_at);
                    if self.events.send(event).is_err() {
                        return;
                    }
                }
                Err(err) => {
                    if reachable {
                        warn!(%err, "machines: they cannot be listed");
                    }
                    reachable = false;
                }
            }
            sleep(LIST_EVERY).await;
        }
    }

    async fn list_all(&self) -> Result<Vec<MachineInfo>, MachineCallError> {
        let mut machines = Vec::new();
        let mut part: Option<String> = None;
        loop {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let page = self.calls.list(part.as_deref(), deadline).await?;
            machines.extend(page.machines);
            part = page.next;
            if part.is_none() {
                return Ok(machines);
            }
        }
    }
}

/// Tells a machine to begin its maintenance.
pub(super) struct MaintenanceCaller<M> {
    pub calls: M,
    pub holder: InstanceId,
    pub epoch: Epoch,
    pub events: EventSender,
}

impl<M: MachineCalls> MaintenanceCaller<M> {
    /// Sends one order.
    pub async fn send(self, order: MaintenanceOrder) {
        let deadline = Instant::now() + CALL_TIMEOUT;
        let reply = self
            .calls
            .maintain(&order, &self.holder, self.epoch, deadline)
            .await;
        let failure = reply.as_ref().err().map(ToString::to_string);
        let answer = match reply {
            Ok(answer) => answer,
            Err(MachineCallError::Fenced) => {
                // After the end of the term nobody listens.
                let _ = self.events.send(Event::Deposed);
                return;
            }
            Err(_) => MaintenanceAnswer::Unclear,
        };
        record_maintenance(answer);
        info!(wave = %order.wave, machine = %order.machine, %answer, failure, "order: maintenance");
        let _ = self.events.send(Event::Maintained(order, answer));
    }
}
