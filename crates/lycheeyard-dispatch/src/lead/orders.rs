use super::{
    event::Event,
    failed_stops::FailedStops,
    term_context::TermContext,
    worker_epochs::{StartEpoch, StartsBeingSent},
};
use crate::{
    clock::Clock,
    metrics::{record_start, record_stop, record_throttle},
    ports::{StartReply, WorkerCallError, WorkerCalls},
};
use lycheeyard_clients::CallError;
use lycheeyard_jobs::{Order, StartAnswer, StartOrder, StopOrder, ThrottleOrder, WorkerKey};
use lycheeyard_protocol::Epoch;
use std::{collections::BTreeMap, future::Future, time::Duration};
use tokio::time::{Instant, sleep, timeout};
use tracing::{info, warn};

const CALL_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: u32 = 3;
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Sends orders to workers and their outcomes to the scheduling loop. Before each call it checks that the term still allows
/// orders, since the process may have been suspended after the order was issued, and before each start that its deadline has not
/// passed, which a later incarnation would not notice, that the worker has not announced meanwhile that it leaves, and that its
/// data centre has not been evacuated meanwhile.
#[derive(Clone)]
pub(super) struct OrderSender<W, C> {
    pub cx: TermContext<W>,
    pub clock: C,
}

/// Groups orders by worker, so that one connection serves all orders of a worker.
pub(super) fn group_by_worker(orders: Vec<Order>) -> BTreeMap<WorkerKey, Vec<Order>> {
    let mut groups: BTreeMap<WorkerKey, Vec<Order>> = BTreeMap::new();
    for order in orders {
        let worker = order.worker().clone();
        groups.entry(worker).or_default().push(order);
    }
    groups
}

impl<W: WorkerCalls, C: Clock> OrderSender<W, C> {
    /// Sends orders to one worker sequentially. The starts among them count as being sent from this call on.
    pub fn send_all(self, orders: Vec<Order>) -> impl Future<Output = ()> + Send {
        let being_sent = self.begin_starts(&orders);
        async move {
            let _being_sent = being_sent;
            let mut failed_stops = FailedStops::default();
            for order in orders {
                match order {
                    Order::Start(order) => self.start(order).await,
                    Order::Stop(order) => self.stop(order, &mut failed_stops).await,
                    Order::Throttle(order) => self.throttle(order).await,
                }
            }
            failed_stops.log();
        }
    }

    /// Announces the starts among the orders, if there are any.
    fn begin_starts(&self, orders: &[Order]) -> Option<StartsBeingSent> {
        let mut starts = orders.iter().filter(|order| order.is_start());
        let worker = starts.next()?.worker();
        Some(self.cx.epochs.begin_starts(&worker.id))
    }

    async fn start(&self, order: StartOrder) {
        let Some(answer) = self.try_start(&order).await else {
            return;
        };
        record_start(answer);
        if !matches!(
            answer,
            StartAnswer::Present | StartAnswer::PresentByLaterCopy
        ) {
            warn!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, ?answer, "order: start failed");
        }
        self.send_start_answer(&order, answer);
    }

    fn send_start_answer(&self, order: &StartOrder, answer: StartAnswer) {
        let (task, worker) = (order.task.clone(), order.worker.clone());
        self.send(Event::StartAnswered(task, order.run, worker, answer));
    }

    async fn try_start(&self, order: &StartOrder) -> Option<StartAnswer> {
        // The deadline of the order must be on the worker's clock, which has no reading yet.
        let Some(until) = self.cx.clocks.translate(&order.worker, order.deadline) else {
            return Some(StartAnswer::NotStarted);
        };
        // Set once an attempt was left unanswered: the worker may have started the run.
        let mut is_unclear = false;
        // Set once the connection was lost during an attempt: the worker may have crashed.
        let mut was_lost = false;
        let mut attempts = 0;
        loop {
            if !self.may_send() || order.deadline.is_past(self.clock.boot()) {
                return Some(not_confirmed(is_unclear));
            }
            if self.cx.leaving.contains(&order.worker) {
                info!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, tries = attempts, "order: start withheld, the worker leaves");
                return Some(not_confirmed(is_unclear));
            }
            if self.cx.evacuated.contains(&order.data_centre) {
                info!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, tries = attempts, "order: start withheld, the data centre is evacuated");
                return Some(not_confirmed(is_unclear));
            }
            let epoch = match self.cx.epochs.for_start(&order.worker) {
                StartEpoch::Drawn(epoch) => epoch,
                StartEpoch::Wanted => {
                    let drawn = self.cx.epochs.wait_until_drawn(&order.worker.id);
                    // If none is drawn in time, the deadline of the order ends the wait.
                    let _ = timeout(RETRY_PAUSE, drawn).await;
                    continue;
                }
                StartEpoch::Replaced => {
                    info!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, tries = attempts, "order: start withheld, the worker has started again");
                    return Some(not_confirmed(is_unclear));
                }
            };
            if self.cx.gate.pass(&order.worker, || ()).is_none() {
                info!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, tries = attempts, "order: start withheld, the worker is recorded as silent");
                return Some(not_confirmed(is_unclear));
            }
            attempts += 1;
            let deadline = Instant::now() + CALL_TIMEOUT;
            let reply = self.cx.calls.start(order, epoch, until, deadline).await;
            let err = match reply {
                Ok(response) => {
                    let reply = response.reply;
                    if reply == StartReply::Present {
                        let now = self.clock.boot();
                        self.cx
                            .epochs
                            .note_start(&order.worker.id, response.clock, now);
                    }
                    let answer = answer_to(reply, is_unclear);
                    if matches!(
                        answer,
                        StartAnswer::NotStarted | StartAnswer::Refused | StartAnswer::Unclear
                    ) {
                        warn!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, refusal = ?reply, "order: start refused");
                    }
                    return Some(answer);
                }
                // The next attempt carries the newer epoch, unless it is that of another incarnation.
                Err(WorkerCallError::Fenced)
                    if self.cx.epochs.has_superseded(&order.worker.id, epoch) =>
                {
                    continue;
                }
                Err(WorkerCallError::Fenced) => {
                    self.send(Event::Deposed);
                    return None;
                }
                Err(WorkerCallError::IncarnationEnded) => {
                    if !is_unclear {
                        self.send_start_answer(order, StartAnswer::NotStarted);
                    }
                    self.send(Event::IncarnationEnded(order.worker.clone()));
                    return None;
                }
                Err(err) => err,
            };
            warn!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, %err, tries = attempts, "order: start not confirmed");
            if matches!(err, WorkerCallError::NoAnswer(_)) {
                is_unclear = true;
                let now = self.clock.boot();
                self.cx.epochs.note_unanswered_start(&order.worker.id, now);
            }
            was_lost |= matches!(err, WorkerCallError::NoAnswer(CallError::ConnectionLost(_)));
            if attempts >= MAX_ATTEMPTS {
                return Some(answer_after_last_attempt(&err, is_unclear, was_lost));
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns whether the term allows orders now.
    fn may_send(&self) -> bool {
        self.cx.may_send_orders(self.clock.boot())
    }

    async fn stop(&self, order: StopOrder, failed: &mut FailedStops) {
        let (epoch, reply) = loop {
            let Some(epoch) = self.epoch_for(&order.worker) else {
                return;
            };
            let deadline = Instant::now() + CALL_TIMEOUT;
            let reply = self.cx.calls.stop(&order, epoch, deadline).await;
            if !self.was_overtaken(&reply, &order.worker, epoch) {
                break (epoch, reply);
            }
        };
        record_stop(order.reason);
        if let Err(err) = &reply {
            failed.add(&order, err);
        }
        let confirmed = Event::StopConfirmed(order.task, order.run, order.worker.clone());
        self.send_outcome(&reply, confirmed, order.worker, epoch);
    }

    async fn throttle(&self, order: ThrottleOrder) {
        let (epoch, reply) = loop {
            let Some(epoch) = self.epoch_for(&order.worker) else {
                return;
            };
            let deadline = Instant::now() + CALL_TIMEOUT;
            let reply = self.cx.calls.throttle(&order, epoch, deadline).await;
            if !self.was_overtaken(&reply, &order.worker, epoch) {
                break (epoch, reply);
            }
        };
        record_throttle(reply.is_ok());
        let failure = reply.as_ref().err().map(ToString::to_string);
        info!(job = %order.task.step.job, task = %order.task, run = %order.run, worker = %order.worker.id, share = %order.share, failure, "order: pace");
        let confirmed = Event::Throttled(order.task, order.run, order.share);
        self.send_outcome(&reply, confirmed, order.worker, epoch);
    }

    /// Returns the epoch for an order that starts nothing; `None` if it may not be sent.
    fn epoch_for(&self, worker: &WorkerKey) -> Option<Epoch> {
        if !self.may_send() {
            return None;
        }
        self.cx.epochs.for_call(worker)
    }

    /// Whether an incarnation has rejected an order since a call with a newer epoch of this term has reached it earlier.
    fn was_overtaken(
        &self,
        reply: &Result<(), WorkerCallError>,
        worker: &WorkerKey,
        epoch: Epoch,
    ) -> bool {
        let newest = self.cx.epochs.for_call(worker);
        matches!(reply, Err(WorkerCallError::Fenced)) && newest.is_some_and(|newest| newest > epoch)
    }

    /// Sends the outcome of an order. A failed one needs no event, since the scheduler repeats unconfirmed orders.
    fn send_outcome(
        &self,
        reply: &Result<(), WorkerCallError>,
        confirmed: Event,
        worker: WorkerKey,
        epoch: Epoch,
    ) {
        match reply {
            Ok(()) => self.send(confirmed),
            Err(WorkerCallError::Fenced) if self.cx.epochs.has_superseded(&worker.id, epoch) => {}
            Err(WorkerCallError::Fenced) => self.send(Event::Deposed),
            Err(WorkerCallError::IncarnationEnded) => self.send(Event::IncarnationEnded(worker)),
            Err(_) => {}
        }
    }

    /// Sends an event to the scheduling loop; after the end of the term it is dropped.
    fn send(&self, event: Event) {
        self.cx.send_event(event);
    }
}

/// Returns the outcome of a start order to which a worker replied. `is_unclear` is set if an earlier copy was not answered.
fn answer_to(reply: StartReply, is_unclear: bool) -> StartAnswer {
    match reply {
        StartReply::Present if is_unclear => StartAnswer::PresentByLaterCopy,
        StartReply::Present => StartAnswer::Present,
        // These also hold for every copy that the worker has yet to execute.
        StartReply::Superseded | StartReply::Late if is_unclear => StartAnswer::Refused,
        _ if is_unclear => StartAnswer::Unclear,
        StartReply::NoRoom => StartAnswer::NoRoom,
        StartReply::NoTicket => StartAnswer::NoTicket,
        StartReply::Superseded | StartReply::Late | StartReply::Invalid => StartAnswer::NotStarted,
    }
}

/// Returns the outcome of a start order whose last attempt failed.
fn answer_after_last_attempt(
    err: &WorkerCallError,
    is_unclear: bool,
    was_lost: bool,
) -> StartAnswer {
    let is_unreachable = matches!(err, WorkerCallError::NotSent(_));
    match (is_unclear, is_unreachable) {
        (false, true) => StartAnswer::Unreachable,
        (true, true) if was_lost => StartAnswer::ConnectionLost,
        _ => not_confirmed(is_unclear),
    }
}

/// Returns the outcome of a start order that no worker has confirmed.
fn not_confirmed(is_unclear: bool) -> StartAnswer {
    if is_unclear {
        StartAnswer::Unclear
    } else {
        StartAnswer::NotStarted
    }
}
