use super::event::{Event, EventSender};
use crate::{
    clock::Clock,
    metrics::record_maintenance,
    ports::{MachineCallError, MachineCalls},
    term::TermState,
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
/// The pause between two listings of the machines.
const LIST_INTERVAL: Duration = Duration::from_millis(700);

/// Lists the machines repeatedly while `is_wanted` is true.
pub(super) struct MachineLister<M, C> {
    pub calls: M,
    pub clock: C,
    pub is_wanted: watch::Receiver<bool>,
    pub events: EventSender,
}

impl<M: MachineCalls, C: Clock> MachineLister<M, C> {
    /// Runs until the term ends, which closes the channels.
    pub async fn run(mut self) {
        let mut is_reachable = true;
        while self
            .is_wanted
            .wait_for(|is_wanted| *is_wanted)
            .await
            .is_ok()
        {
            let requested_at = self.clock.boot();
            match self.list_all().await {
                Ok(machines) => {
                    if !is_reachable {
                        info!("machines: the list can be read again");
                    }
                    is_reachable = true;
                    let event = Event::MachinesListed(machines, requested_at);
                    if self.events.send(event).is_err() {
                        return;
                    }
                }
                Err(err) => {
                    if is_reachable {
                        warn!(%err, "machines: the list cannot be read");
                    }
                    is_reachable = false;
                }
            }
            sleep(LIST_INTERVAL).await;
        }
    }

    async fn list_all(&self) -> Result<Vec<MachineInfo>, MachineCallError> {
        let mut machines = Vec::new();
        let mut page_token: Option<String> = None;
        loop {
            let deadline = Instant::now() + CALL_TIMEOUT;
            let page = self.calls.list(page_token.as_deref(), deadline).await?;
            machines.extend(page.machines);
            page_token = page.next;
            if page_token.is_none() {
                return Ok(machines);
            }
        }
    }
}

/// Orders machines to begin their maintenance. Before the call it checks that the term still allows orders, since the process
/// may have been suspended after the order was issued.
pub(super) struct MaintenanceCaller<M, C> {
    pub calls: M,
    pub clock: C,
    pub term_state: watch::Receiver<TermState>,
    pub holder: InstanceId,
    pub epoch: Epoch,
    pub events: EventSender,
}

impl<M: MachineCalls, C: Clock> MaintenanceCaller<M, C> {
    /// Sends one order.
    pub async fn send(self, order: MaintenanceOrder) {
        if !self.may_send() {
            info!(wave = %order.wave, machine = %order.machine, "order: maintenance withheld, the term is not confirmed");
            // Should the term go on, the scheduler orders the machine again. A predecessor's order may still take effect.
            self.report(order, MaintenanceAnswer::Unclear);
            return;
        }
        let deadline = Instant::now() + CALL_TIMEOUT;
        let reply = self
            .calls
            .maintain(&order, &self.holder, self.epoch, deadline)
            .await;
        let failure = reply.as_ref().err().map(ToString::to_string);
        let answer = match reply {
            Ok(answer) => answer,
            Err(MachineCallError::Fenced) => {
                // The receiver is dropped at the end of the term; the event is then obsolete.
                let _ = self.events.send(Event::Deposed);
                return;
            }
            Err(_) => MaintenanceAnswer::Unclear,
        };
        record_maintenance(answer);
        info!(wave = %order.wave, machine = %order.machine, %answer, failure, "order: maintenance");
        self.report(order, answer);
    }

    /// Returns whether the term allows orders now.
    fn may_send(&self) -> bool {
        self.term_state.borrow().may_act(self.clock.boot())
    }

    fn report(&self, order: MaintenanceOrder, answer: MaintenanceAnswer) {
        // After the end of the term the event is obsolete.
        let _ = self.events.send(Event::MaintenanceAnswered(order, answer));
    }
}
