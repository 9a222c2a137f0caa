use lycheeyard_dispatch::StartReply;
use std::time::Duration;

/// What happens to a start call instead of its usual outcome.
#[derive(Clone, Copy, Debug)]
pub enum StartFault {
    /// The worker does not answer, and executes the order after this time.
    ExecutedAfter(Duration),
    /// The call takes this long to reach the worker.
    DelayedBy(Duration),
    /// The worker answers so and does nothing.
    Refused(StartReply),
    /// Another worker has the address, and does nothing.
    OtherWorker,
}
