use crate::ports::WorkerClock;

/// Whether a report request extends the lease of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Extension {
    /// Until this time on the worker's clock.
    Until(WorkerClock),
    /// The worker's clock is not known yet.
    Impossible,
    /// The term is not confirmed, so that the lease of its holder may have ended.
    Unconfirmed,
    /// The worker has not answered the request before, or not for some time.
    Withheld,
    /// The record of silent workers may name the worker.
    Named,
    /// The scheduling loop has ended.
    TermEnded,
}
