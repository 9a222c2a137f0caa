use super::{
    contact::Contact,
    directive::{Directive, REPORT_WAIT},
    event::Event,
    listed_ends::ListedEnds,
    term_context::TermContext,
    unsettled_starts::Settlement,
    worker_epochs::ReportEpoch,
};
use crate::{
    clock::Clock,
    metrics::record_failed_report,
    ports::{ReportRequest, WorkerCallError, WorkerCalls, WorkerClock},
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::{BootTime, EndNumber, WorkerInfo, WorkerKey, WorkerLimits, WorkerReport};
use lycheeyard_protocol::Epoch;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout},
};
use tracing::{info, warn};

/// How long a poller waits, after another incarnation or another worker has answered, to be replaced by a poller for the present
/// incarnation. If it is not replaced, the scheduling loop has ignored the answer or the address was outdated, and polling continues.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum by which the transit of an answer may exceed that of the previous one. After a longer delay, such as a suspension of this
/// process, the incarnation may have ended since it answered, so that the next request is sent as to one that has not answered yet.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// A request that may be the last one to extend leases is sent this long before they may not be extended any more.
const LAST_EXTENSION_TIME: Duration = Duration::from_millis(200);
/// The maximum wait until reported ends are durable. The next request is then sent anyway, so that leases are extended
/// in time.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(800);

/// The pause between requests while listed ends may not be acknowledged, so that the worker answers at once.
const WITHHELD_PAUSE: Duration = Duration::from_millis(500);

/// Polls one incarnation of a worker for reports and extends the lease of its runs.
pub(super) struct ReportPoller<W, C> {
    pub cx: TermContext<W>,
    pub clock: C,
    /// Whether the epoch was raised since the worker is gone.
    pub is_raised: bool,
    pub worker: watch::Receiver<WorkerInfo>,
    pub limits: WorkerLimits,
    pub directive: watch::Receiver<Directive>,
}

enum Step {
    /// A report was delivered.
    Next,
    /// A report was delivered whose transit exceeded [`MAX_ANSWER_DELAY`]; its incarnation may have ended since.
    Outdated,
    /// The request was ended, since the worker is to report more often, or rejected, since it has seen a newer epoch of this term.
    Interrupted,
    /// Another incarnation, or another worker, has answered.
    Replaced,
    Stop,
}

/// Whether a report request extends the lease of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Extension {
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

impl<W: WorkerCalls, C: Clock> ReportPoller<W, C> {
    /// Runs until the incarnation or the term has ended.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut contact = Contact::New;
        let mut ends = ListedEnds::default();
        loop {
            match self.poll(&mut ends, contact).await {
                Ok(Step::Next) => {
                    if contact.has_failed() {
                        info!(worker = %self.worker.borrow().key.id, "worker: answers again");
                    }
                    contact = Contact::Answers;
                    backoff.reset();
                }
                Ok(Step::Outdated) => {
                    contact = Contact::New;
                    backoff.reset();
                }
                Ok(Step::Interrupted) => {}
                Ok(Step::Replaced) => {
                    contact = Contact::New;
                    sleep(REPLACEMENT_WAIT).await;
                }
                Ok(Step::Stop) => return,
                Err(err) => {
                    record_failed_report();
                    let failed = Contact::after(&err);
                    if contact != failed {
                        self.log_failure(&err);
                    }
                    contact = failed;
                    let worker = self.worker.borrow().key.clone();
                    if !self.cx.send_event(Event::ReportFailed(worker)) {
                        return;
                    }
                    if self.directive.borrow().awaits_next_incarnation {
                        sleep(FIRST_PAUSE).await;
                    } else {
                        backoff.wait().await;
                    }
                }
            }
        }
    }

    fn log_failure(&self, err: &WorkerCallError) {
        let key = &self.worker.borrow().key;
        match err {
            WorkerCallError::NoIncarnation => {
                warn!(worker = %key.id, expected = %key.incarnation, "worker: report without an incarnation");
            }
            err => warn!(worker = %key.id, %err, "worker: no report"),
        }
    }

    /// Requests a report. Unless the incarnation has answered the request before, which may have failed since the incarnation has
    /// ended, the request acknowledges nothing: it may be the first that the next one gets, which numbers its ends anew.
    async fn poll(
        &mut self,
        ends: &mut ListedEnds,
        contact: Contact,
    ) -> Result<Step, WorkerCallError> {
        self.await_sent_starts(*ends).await;
        let worker = self.worker.borrow_and_update().clone();
        let directive = *self.directive.borrow_and_update();
        self.update_epoch(&worker.key, directive);
        let polled_at = self.clock.boot();
        let extension = if directive.extends_lease && !contact.has_failed() {
            self.begin_extension(&worker, polled_at)
        } else {
            Extension::Withheld
        };
        let lease_until = match extension {
            Extension::Until(until) => Some(until),
            Extension::Impossible
            | Extension::Unconfirmed
            | Extension::Withheld
            | Extension::Named => None,
            Extension::TermEnded => return Ok(Step::Stop),
        };
        // The worker must answer at once if this request extends no lease, for example before the first clock reading,
        // if it does not acknowledge all listed ends, or if no new runs are placed there until it answers.
        let durable = if contact == Contact::Answers && !directive.awaits_next_incarnation {
            ends.to_acknowledge(directive.acknowledge)
        } else {
            EndNumber(0)
        };
        let epochs = &self.cx.epochs;
        let call = epochs.for_report(&worker.key, durable, ends.are_too_many(), polled_at);
        let Some(ReportEpoch { epoch, acknowledge }) = call else {
            return Ok(Step::Stop);
        };
        let is_immediate =
            lease_until.is_none() || ends.has_more_than(acknowledge) || contact != Contact::Answers;
        let wait = if is_immediate {
            Duration::ZERO
        } else {
            self.wait_before_last_extension(directive.wait(), polled_at)
        };
        let req = ReportRequest {
            epoch,
            acknowledge,
            lease_until,
            wait,
        };
        let deadline = Instant::now() + wait + CALL_TIMEOUT;
        let answer = tokio::select! {
            answer = self.cx.calls.report(&worker, req, deadline) => answer,
            () = until_shorter_wait(&mut self.directive, wait) => return Ok(Step::Interrupted),
        };
        let answer = match answer {
            Ok(answer) => answer,
            Err(WorkerCallError::Fenced) => return Ok(self.after_rejection(&worker.key, epoch)),
            Err(WorkerCallError::IncarnationEnded) => {
                self.cx.send_event(Event::IncarnationEnded(worker.key));
                return Ok(Step::Replaced);
            }
            Err(err) => {
                if lease_until.is_some() && matches!(err, WorkerCallError::NotSent(_)) {
                    self.cx
                        .send_event(Event::LeaseNotSent(worker.key, polled_at));
                }
                return Err(err);
            }
        };
        let received_at = self.clock.boot();
        let incarnation = answer.incarnation;
        let incarnation = incarnation.ok_or(WorkerCallError::NoIncarnation)?;
        if incarnation != worker.key.incarnation {
            self.cx
                .send_event(Event::WorkerRestarted(worker.key, incarnation));
            return Ok(Step::Replaced);
        }
        let late_by = self
            .cx
            .clocks
            .record(&worker.key, answer.clock, received_at);
        self.cx.epochs.note_report(&worker.key, polled_at);
        ends.note_acknowledged(acknowledge);
        ends.note_listed(&answer.ended);
        let report = WorkerReport {
            worker: worker.key,
            polled_at,
            received_at,
            running: answer.running,
            ended: answer.ended,
            is_partial: answer.is_partial,
        };
        if !self.cx.send_event(Event::Reported(report)) {
            return Ok(Step::Stop);
        }
        self.pause(*ends, extension, contact).await;
        Ok(if late_by > MAX_ANSWER_DELAY {
            Step::Outdated
        } else {
            Step::Next
        })
    }

    /// Waits after a report until the next request is of use.
    async fn pause(&mut self, ends: ListedEnds, extension: Extension, contact: Contact) {
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

    /// Waits until the start orders to the worker that are being sent are answered, if ends are to be acknowledged. A request that
    /// acknowledges nothing is sent after a short time.
    async fn await_sent_starts(&self, ends: ListedEnds) {
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

    /// Raises the epoch of the calls, once for each time that the worker is gone, as soon as a newer one is drawn.
    fn update_epoch(&mut self, worker: &WorkerKey, directive: Directive) {
        if !directive.awaits_next_incarnation {
            self.is_raised = false;
        } else if !self.is_raised {
            self.is_raised = self.cx.epochs.raise(worker).is_some();
        }
    }

    /// Returns how long the worker may hold a request that is sent at `polled_at`: leases are extended once more shortly before the term
    /// does not allow it any more.
    fn wait_before_last_extension(&self, wait: Duration, polled_at: BootTime) -> Duration {
        let until = self.cx.extensions_until(polled_at, &self.limits);
        let left = until.map_or(Duration::ZERO, |until| until.since(polled_at));
        match left.saturating_sub(LAST_EXTENSION_TIME) {
            Duration::ZERO => wait,
            left => wait.min(left),
        }
    }

    /// Announces that a request extends the lease of a worker, if it may.
    fn begin_extension(&self, worker: &WorkerInfo, polled_at: BootTime) -> Extension {
        let until = polled_at.after(self.limits.lease_on(worker));
        let Some(on_worker) = self.cx.clocks.translate(&worker.key, until) else {
            return Extension::Impossible;
        };
        if self.cx.extensions_until(polled_at, &self.limits).is_none() {
            return Extension::Unconfirmed;
        }
        let announce = || {
            let sent = Event::LeaseSent(worker.key.clone(), polled_at, until);
            self.cx.send_event(sent)
        };
        match self.cx.gate.pass(&worker.key, announce) {
            Some(true) => Extension::Until(on_worker),
            Some(false) => Extension::TermEnded,
            None => Extension::Named,
        }
    }

    /// Decides what follows from a worker's rejection of the epoch of a request: another instance schedules, unless the worker has
    /// seen a higher epoch of this term.
    fn after_rejection(&self, worker: &WorkerKey, epoch: Epoch) -> Step {
        let epochs = &self.cx.epochs;
        if !epochs.has_superseded(&worker.id, epoch) {
            self.cx.send_event(Event::Deposed);
            return Step::Stop;
        }
        match epochs.for_call(worker) {
            Some(_) => Step::Interrupted,
            None => Step::Stop,
        }
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

/// Returns once the directive asks for a shorter wait than that of a request.
async fn until_shorter_wait(directive: &mut watch::Receiver<Directive>, wait: Duration) {
    let is_shorter = |directive: &Directive| directive.wait() < wait;
    let has_ended = directive.wait_for(is_shorter).await.is_err();
    if has_ended {
        // The term has ended; the request is aborted with its task.
        std::future::pending::<()>().await;
    }
}
