use super::{event::Event, term_context::TermContext};
use crate::{
    clock::Clock,
    metrics::record_failed_report,
    ports::{ReportRequest, WorkerCallError, WorkerCalls},
};
use lycheeyard_clients::Backoff;
use lycheeyard_jobs::{EndNumber, WorkerInfo, WorkerReport};
use std::time::Duration;
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};
use tracing::{info, warn};

/// A worker waits this long for an end before it answers.
const REPORT_WAIT: Duration = Duration::from_millis(1500);
/// A worker whose reports set the pace of runs waits only so long.
const SHARED_REPORT_WAIT: Duration = Duration::from_millis(400);
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Ends that are not durable yet are waited for this long before leases are extended all the same.
const ACKNOWLEDGE_WAIT: Duration = Duration::from_millis(800);

/// What a worker is told with the next request for a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Directive {
    pub acknowledge: EndNumber,
    pub extends_lease: bool,
    /// Whether reports must come often, since what runs there is paced by them.
    pub is_shared: bool,
}

impl Directive {
    /// How long the worker waits for an end before it answers.
    fn wait(self) -> Duration {
        if self.is_shared {
            SHARED_REPORT_WAIT
        } else {
            REPORT_WAIT
        }
    }
}

/// Asks one life of a worker for reports, again and again.
pub(super) struct Asker<W, C> {
    pub cx: TermContext<W>,
    pub clock: C,
    pub worker: watch::Receiver<WorkerInfo>,
    pub max_lease: Duration,
    pub directive: watch::Receiver<Directive>,
}

enum Step {
    Next,
    Stop,
}

impl<W: WorkerCalls, C: Clock> Asker<W, C> {
    /// Runs until that life of the worker has ended or the term is over.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_PAUSE, MAX_PAUSE);
        let mut silent = false;
        let mut listed = EndNumber(0);
        loop {
            match self.ask(&mut listed).await {
                Ok(Step::Next) => {
                    if silent {
                        info!(worker = %self.worker.borrow().key.id, "worker: answers again");
                    }
                    silent = false;
                    backoff.reset();
                }
                Ok(Step::Stop) => return,
                Err(err) => {
                    record_failed_report();
                    if !silent {
                        warn!(worker = %self.worker.borrow().key.id, %err, "worker: no report");
                    }
                    silent = true;
                    backoff.wait().await;
                }
            }
        }
    }

    async fn ask(&mut self, listed: &mut EndNumber) -> Result<Step, WorkerCallError> {
        let worker = self.worker.borrow_and_update().clone();
        let directive = *self.directive.borrow_and_update();
        let asked_at = self.clock.boot();
        let until = asked_at.after(self.max_lease);
        let lease_until = self
            .cx
            .clocks
            .translate(&worker.key, until)
            .filter(|_| directive.extends_lease);
        if lease_until.is_some() && !self.cx.tell(Event::LeaseSent(worker.key.clone(), asked_at)) {
            return Ok(Step::Stop);
        }
        let is_first = lease_until.is_none() || *listed > directive.acknowledge;
        let wait = if is_first {
            Duration::ZERO
        } else {
            directive.wait()
        };
        let req = ReportRequest {
            epoch: self.cx.epoch,
            acknowledge: directive.acknowledge,
            lease_until,
            wait,
        };
        let deadline = Instant::now() + wait + CALL_TIMEOUT;
        let answer = match self.cx.calls.report(&worker, req, deadline).await {
            Ok(answer) => answer,
            Err(WorkerCallError::Fenced) => {
                self.cx.tell(Event::Deposed);
                return Ok(Step::Stop);
            }
            Err(WorkerCallError::IncarnationEnded) => {
                self.cx.tell(Event::WorkerGone(worker.key));
                return Ok(Step::Stop);
            }
            Err(err) => return Err(err),
        };
        let received_at = self.clock.boot();
        if answer
            .incarnation
            .is_some_and(|incarnation| incarnation != worker.key.incarnation)
        {
            self.cx.tell(Event::WorkerGone(worker.key));
            return Ok(Step::Stop);
        }
        self.cx.clocks.note(&worker.key, answer.clock, received_at);
        if let Some(last) = answer.ended.last() {
            *listed = (*listed).max(last.number);
        }
        let report = WorkerReport {
            worker: worker.key,
            polled_at: asked_at,
            received_at,
            running: answer.running,
            ended: answer.ended,
            is_partial: answer.is_partial,
        };
        if !self.cx.tell(Event::Reported(report)) {
            return Ok(Step::Stop);
        }
        self.await_acknowledgement(*listed).await;
        Ok(Step::Next)
    }

    /// Waits until the ends that were listed are durable, since the worker would list them again at once.
    async fn await_acknowledgement(&mut self, listed: EndNumber) {
        let durable = self
            .directive
            .wait_for(|directive| directive.acknowledge >= listed);
        // The writer logs what holds it up; here it only matters that leases are extended in time.
        let _ = timeout(ACKNOWLEDGE_WAIT, durable).await;
    }
}
