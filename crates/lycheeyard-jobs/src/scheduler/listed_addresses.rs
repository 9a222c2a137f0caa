use super::{JobScheduler, Now, OtherIncarnations};
use crate::WorkerKey;

impl JobScheduler {
    /// Records that a report request to a worker got no report: no new runs are placed there until the next one.
    ///
    /// If the list names another incarnation at another address, the next request is sent there, and the one after it again to the
    /// former address: the worker may have started again at the listed one, or the listing may be outdated.
    pub fn report_failed(&mut self, key: &WorkerKey, now: Now) {
        self.await_report(key);
        if let Some(entry) = self.worker_mut(key) {
            entry.silent_since.get_or_insert(now.boot);
        }
        if self.restore_address(key) {
            return;
        }
        let others = self.other_incarnations.get(&key.id);
        let listed = others.and_then(OtherIncarnations::listed_address);
        let Some(entry) = self.worker_mut(key) else {
            return;
        };
        let Some(info) = entry.info.as_mut() else {
            return;
        };
        if let Some(listed) = listed.filter(|listed| *listed != info.address) {
            entry.own_address = Some(info.address);
            info.address = listed;
        }
    }

    /// Asks a worker at the address of its own entry again. Returns whether it was asked at that of another incarnation.
    pub(super) fn restore_address(&mut self, key: &WorkerKey) -> bool {
        let Some(entry) = self.worker_mut(key) else {
            return false;
        };
        let (Some(info), Some(own)) = (entry.info.as_mut(), entry.own_address.take()) else {
            return false;
        };
        info.address = own;
        true
    }
}
