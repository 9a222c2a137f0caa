use super::{
    event::{Event, EventSender},
    worker_clocks::WorkerClocks,
};
use lycheeyard_protocol::Epoch;

/// The context that the tasks of one term share, to call workers and to send events to the scheduling loop.
#[derive(Clone)]
pub(super) struct TermContext<W> {
    pub calls: W,
    pub epoch: Epoch,
    pub clocks: WorkerClocks,
    pub events: EventSender,
}

impl<W> TermContext<W> {
    /// Sends an event to the scheduling loop. Returns false after the end of the term, when the receiver is dropped.
    pub fn send_event(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }
}
