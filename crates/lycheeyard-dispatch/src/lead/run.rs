use super::{
    context::{Dispatcher, WorkerReader},
    leadership::Leadership,
    term_end::TermEnd,
};
use crate::{
    clock::Clock,
    ports::{KeyValueStore, PlacementAdvisor, WorkerCalls},
    term::win_term,
};
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Schedules whenever this instance holds the scheduling lease, until `stop` is cancelled.
pub async fn run_scheduler<S, W, A, R, C>(
    dispatcher: Dispatcher<S, W, A, R, C>,
    stop: CancellationToken,
) where
    S: KeyValueStore,
    W: WorkerCalls,
    A: PlacementAdvisor,
    R: WorkerReader,
    C: Clock,
{
    while !stop.is_cancelled() {
        let term = tokio::select! {
            () = stop.cancelled() => return,
            term = win_term(&dispatcher.store, &dispatcher.clock, &dispatcher.instance) => term,
        };
        let epoch = term.epoch;
        let end = Leadership::begin(dispatcher.clone(), term).run(&stop).await;
        info!(%epoch, reason = %end, "term: this instance no longer schedules");
        if end == TermEnd::Stopped {
            return;
        }
    }
}
