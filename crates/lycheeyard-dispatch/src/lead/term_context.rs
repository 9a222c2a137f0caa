use super::{
    evacuated_data_centres::EvacuatedDataCentres,
    event::{Event, EventSender},
    leaving_workers::LeavingWorkers,
    silent_gate::SilentGate,
    worker_clocks::WorkerClocks,
    worker_epochs::WorkerEpochs,
};
use crate::term::TermState;
use lycheeyard_jobs::{BootTime, WorkerLimits};
use tokio::sync::watch;

/// The context that the tasks of one term share, to call workers and to send events to the scheduling loop.
#[derive(Clone)]
pub(super) struct TermContext<W> {
    pub calls: W,
    pub epochs: WorkerEpochs,
    pub clocks: WorkerClocks,
    pub leaving: LeavingWorkers,
    pub evacuated: EvacuatedDataCentres,
    pub gate: SilentGate,
    pub events: EventSender,
    pub term_state: watch::Receiver<TermState>,
}

impl<W> TermContext<W> {
    /// Returns whether an order may be sent at `now`.
    pub fn may_send_orders(&self, now: BootTime) -> bool {
        self.term_state.borrow().may_act(now)
    }

    /// Returns until when report requests may extend the leases of workers; `None` if they may not at `now`.
    pub fn extensions_until(&self, now: BootTime, limits: &WorkerLimits) -> Option<BootTime> {
        let until = self.term_state.borrow().extensions_until(limits.max_lease);
        until.filter(|until| !until.is_past(now))
    }

    /// Sends an event to the scheduling loop. Returns false after the end of the term, when the receiver is dropped.
    pub fn send_event(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }
}
