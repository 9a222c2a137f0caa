use super::{SlotPermit, SlotTable};
use lycheeyard_policy::{SlotRefusal, WaiterKey};
use lycheeyard_protocol::ServiceId;
use tokio::sync::oneshot;

pub(super) type SlotResult = Result<SlotPermit, SlotRefusal>;

/// A request in the queue; dropping it removes the request.
#[derive(Debug)]
pub(super) struct Waiter<'a> {
    pub table: &'a SlotTable,
    pub service: &'a ServiceId,
    pub key: WaiterKey,
    pub rx: oneshot::Receiver<SlotResult>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.table.cancel(self.service, &self.key);
    }
}
