use super::{
    contact::Contact, directive::Directive, event::Event, lease_extension::Extension,
    listed_ends::ListedEnds, term_context::TermContext, worker_epochs::ReportEpoch,
};
use crate::{
    clock::Clock,
    metrics::record_failed_report,
    ports::{ReportRequest, WorkerCallError, WorkerCalls},
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::{BootTime, EndNumber, WorkerInfo, WorkerKey, WorkerLimits, WorkerReport};
use lycheeyard_protocol::Epoch;
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use tracing::{info, warn};

/// How long a poller waits, after another incarnation or another worker has answered, to be replaced by a poller for the present
/// incarnation. If it is not replaced, the scheduling loop has ignored the answer or the address was outdated, and polling continues.
const REPLACEMENT_WAIT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// The maximum by which the transit of an answer may exceed that of the previous one. After a longer delay, such as a suspension of this
/// process, the incarnation may have ended since it answered, so that the next request is sent as to one that has not answered yet.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(200);
/// The shortest pause between two requests.
pub(super) const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// A request that may be the last one to extend leases is sent this long before they may not be extended any more.
const LAST_EXTENSION_TIME: Duration = Duration::from_millis(200);

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
