use super::{
    dispatcher::{Dispatcher, Environment},
    leadership::Leadership,
    term_end::TermEnd,
};
use crate::{
    clock::Clock,
    term::{Candidate, acquire_term},
};
use tokio_util::sync::CancellationToken;
use tracing::info;

/// Competes for the scheduling lease and schedules while this instance holds it, until `stop` is cancelled.
pub async fn run_scheduler<E: Environment>(dispatcher: Dispatcher<E>, stop: CancellationToken) {
    let started_at = dispatcher.clock.boot();
    while !stop.is_cancelled() {
        let candidate = Candidate {
            store: &dispatcher.store,
            clock: &dispatcher.clock,
            instance: &dispatcher.instance,
            size: dispatcher.size,
            started_at,
        };
        let term = tokio::select! {
            () = stop.cancelled() => return,
            term = acquire_term(&candidate) => term,
        };
        let epoch = term.epoch;
        let end = Leadership::begin(dispatcher.clone(), term).run(&stop).await;
        info!(%epoch, reason = %end, "term: this instance no longer schedules");
        if end == TermEnd::Stopped {
            return;
        }
    }
}
