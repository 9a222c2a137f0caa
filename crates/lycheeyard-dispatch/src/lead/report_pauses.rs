//! The waits of a poller between two requests.

use super::{
    contact::Contact,
    directive::REPORT_WAIT,
    lease_extension::Extension,
    listed_ends::ListedEnds,
    report_poller::{FIRST_PAUSE, ReportPoller},
    unsettled_starts::Settlement,
};
use crate::{clock::Clock, ports::WorkerCalls};
use lycheeyard_jobs::EndNumber;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// The maximum wait until reported ends are durable. The next request is then sent anyway, so that leases are extended
/// in time.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(800);
/// The pause between requests while listed ends may not be acknowledged, so that the worker answers at once.
const WITHHELD_PAUSE: Duration = Duration::from_millis(500);

impl<W: WorkerCalls, C: Clock> ReportPoller<W, C> {
    /// Waits until the start orders to the worker that are being sent are answered, if ends are to be acknowledged. A request that
    /// acknowledges nothing is sent after a short time.
    pub(super) async fn await_sent_starts(&self, ends: ListedEnds) {
        let durable = self.directive.borrow().acknowledge;
        if ends.to_acknowledge(durable) > EndNumber(0) {
            let worker = self.worker.borrow().key.id.clone();
            let now = self.clock.boot();
            let are_sent = self.cx.epochs.wait_until_starts_sent(&worker, now);
            // If they still are not, the request extends leases and acknowledges nothing.
            let _ = timeout(FIRST_PAUSE, are_sent).await;
        }
    }

    /// Waits before the next request if it may not acknowledge the ends that the worker would list again at once.
    async fn pause_while_withheld(&self, ends: ListedEnds) {
        let durable = self.directive.borrow().acknowledge;
        let is_wanted = ends.to_acknowledge(durable) > EndNumber(0) && !ends.are_too_many();
        let worker = self.worker.borrow().key.id.clone();
        let settlement = self.cx.epochs.settlement(&worker, self.clock.boot());
        if is_wanted && settlement == Settlement::MayBeCarriedOut {
            sleep(WITHHELD_PAUSE).await;
        }
    }

    /// Waits after a report until the next request is of use.
    pub(super) async fn pause(&mut self, ends: ListedEnds, extension: Extension, contact: Contact) {
        self.await_acknowledgement(ends.listed()).await;
        self.pause_while_withheld(ends).await;
        match extension {
            Extension::Withheld if contact == Contact::Answers => self.await_extension().await,
            Extension::Named => sleep(FIRST_PAUSE).await,
            Extension::Unconfirmed => self.await_confirmed_term().await,
            _ => {}
        }
    }

    /// Waits until requests may extend leases, for a short time at most: the worker answers them at once until then.
    async fn await_extension(&mut self) {
        let is_allowed = self.directive.wait_for(|directive| directive.extends_lease);
        // If they still may not, the worker is asked again meanwhile.
        let _ = timeout(FIRST_PAUSE, is_allowed).await;
    }

    /// Waits until the term is confirmed again, for as long as a worker usually holds a request at most: it answers them at once until then.
    async fn await_confirmed_term(&mut self) {
        let (clock, max_lease) = (&self.clock, self.limits.max_lease);
        let is_confirmed = self.cx.term_state.wait_for(|state| {
            let until = state.extensions_until(max_lease);
            until.is_some_and(|until| !until.is_past(clock.boot()))
        });
        // If it still is not, the worker is asked again meanwhile.
        let _ = timeout(REPORT_WAIT, is_confirmed).await;
    }

    /// Waits until the listed ends are durable, since the worker would otherwise answer at once with the same ends.
    async fn await_acknowledgement(&mut self, last_listed: EndNumber) {
        let durable = self
            .directive
            .wait_for(|directive| directive.acknowledge >= last_listed);
        // A timeout needs no handling: the writer logs why it is delayed, and leases must be extended in time.
        let _ = timeout(ACKNOWLEDGE_WAIT, durable).await;
    }
}
