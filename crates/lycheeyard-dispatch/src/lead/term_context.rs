use super::{
    clocks::WorkerClocks,
    event::{Event, EventSender},
};
use lycheeyard_protocol::Epoch;

/// How one term speaks to the workers, and where what it hears goes.
#[derive(Clone)]
pub(super) struct TermContext<W> {
    pub calls: W,
    pub epoch: Epoch,
    pub clocks: WorkerClocks,
    pub events: EventSender,
}

impl<W> TermContext<W> {
    /// Tells the scheduling loop; false after the end of the term, when nobody listens.
    pub fn tell(&self, event: Event) -> bool {
        self.events.send(event).is_ok()
    }
}
