use super::{
    context::{Dispatcher, Environment},
    leadership::Leadership,
    term_end::TermEnd,
};
use crate::term::win_term;
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Schedules whenever this instance holds the scheduling lease, until `stop` is cancelled.
pub async fn run_scheduler<E: Environment>(dispatcher: Dispatcher<E>, stop: CancellationToken) {
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
