use super::{
    apply_events::{EventOutcome, apply_events},
    dispatcher::Environment,
    leadership::Leadership,
    loop_state::LoopState,
    run_end_lines::RunEndLines,
};
use crate::clock::Clock;
use lycheeyard_jobs::JobScheduler;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};
use tracing::info;

/// How long a holder that releases its term waits for writes and orders that have begun.
const MAX_TIME: Duration = Duration::from_millis(200);

impl<E: Environment> Leadership<E> {
    /// Completes the records that are being written, and the orders that wait for them or are being sent, before the term is
    /// released. Otherwise the successor finds runs that are recorded and not present. Plans nothing more.
    pub(super) async fn finish(
        &mut self,
        scheduler: &mut JobScheduler,
        state: &mut LoopState<E::Clock>,
        run_ends: &mut RunEndLines,
    ) {
        let deadline = Instant::now() + MAX_TIME;
        while state.is_writing() || !self.orders.is_empty() {
            tokio::select! {
                () = sleep_until(deadline) => {
                    info!(orders = self.orders.len(), "lead: records or orders are left to the successor");
                    return;
                }
                Some(_) = self.orders.join_next() => {}
                Some(event) = self.inbox.recv() => {
                    let now = self.dispatcher.clock.now();
                    match apply_events(Some(event), &mut self.inbox, scheduler, run_ends, now) {
                        EventOutcome::Applied { written, .. } => state.count_written(written),
                        EventOutcome::Deposed => return,
                    }
                }
            }
            let now = self.dispatcher.clock.now();
            if !self.term_state.borrow().may_act(now.boot) {
                return;
            }
            self.send_orders(scheduler);
        }
    }
}
