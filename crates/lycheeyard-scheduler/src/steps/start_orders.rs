/// Whether any worker may have been ordered to start a task of a placed gang.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartOrders {
    /// No order was sent, so that all tasks are only prepared.
    NoneSent,
    /// An earlier step, perhaps of another holder of the lease, may have sent orders.
    MaybeSent,
}
