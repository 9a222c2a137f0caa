use super::{FakeWorkers, StartFault};
use crate::support::{CallFate, CallFaults, clock::block_for};
use lycheeyard_clients::CallError;
use lycheeyard_dispatch::{
    ReportAnswer, ReportRequest, StartResponse, WorkerCallError, WorkerCalls, WorkerClock,
};
use lycheeyard_jobs::{RunReport, StartOrder, StopOrder, ThrottleOrder, WorkerInfo};
use lycheeyard_protocol::{Epoch, Incarnation, JobId, Percent, WorkerId};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, sleep_until};

const ANSWER_TIME: Duration = Duration::from_millis(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl FakeWorkers {
    async fn call(&self, worker: &WorkerId, deadline: Instant) -> Result<(), WorkerCallError> {
        self.link.wait_until_unfrozen().await;
        block_for(self.link.state().call_cost);
        if self.link.state().workers_silent || self.link.is_silent(worker) {
            return Self::no_answer(deadline).await;
        }
        sleep(ANSWER_TIME).await;
        if self.link.is_gone(worker) {
            let address = SocketAddr::from(([127, 0, 0, 1], 2));
            return Err(WorkerCallError::NotSent(CallError::Connect(address)));
        }
        Ok(())
    }

    fn note_start_call(&self, worker: &WorkerId, epoch: Epoch) {
        let mut data = self.lock();
        *data.start_calls.entry(epoch).or_default() += 1;
        data.last_start_calls.insert(worker.clone(), Instant::now());
    }

    fn next_start_fault(&self, job: &JobId) -> Option<StartFault> {
        self.lock().start_faults.get_mut(job)?.pop_front()
    }

    /// Draws what happens to a call that reaches its worker.
    fn draw_fate(&self, draw: impl FnOnce(&mut CallFaults) -> CallFate) -> CallFate {
        let mut data = self.lock();
        let faults = data.call_faults.as_mut();
        faults.map_or(CallFate::Usual, draw)
    }

    async fn no_answer<T>(deadline: Instant) -> Result<T, WorkerCallError> {
        sleep_until(deadline).await;
        let address = SocketAddr::from(([127, 0, 0, 1], 2));
        Err(WorkerCallError::NoAnswer(CallError::NoResponse(address)))
    }
}

impl WorkerCalls for FakeWorkers {
    async fn start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        deadline: Instant,
    ) -> Result<StartResponse, WorkerCallError> {
        self.note_start_call(&order.worker.id, epoch);
        match self.next_start_fault(&order.task.step.job) {
            Some(StartFault::ExecutedAfter(delay)) => {
                self.execute_start_later(order.clone(), epoch, until, delay);
                return Self::no_answer(deadline).await;
            }
            Some(StartFault::DelayedBy(delay)) => sleep(delay).await,
            Some(StartFault::OtherWorker) => {
                self.call(&order.worker.id, deadline).await?;
                return Err(WorkerCallError::IncarnationEnded);
            }
            Some(StartFault::Refused(reply)) => {
                self.call(&order.worker.id, deadline).await?;
                return Ok(StartResponse { reply, clock: None });
            }
            None => {}
        }
        if self.link.state().starts_lost {
            let lost = Self::no_answer(deadline).await;
            self.link.wait_until_unfrozen().await;
            return lost;
        }
        self.call(&order.worker.id, deadline).await?;
        let fate = self.draw_fate(CallFaults::draw_for_start);
        if matches!(fate, CallFate::Usual) {
            return self.execute_start(order, epoch, until);
        }
        self.note(&format!(
            "unanswered start {} run {} of epoch {epoch} for {}/{}: {fate}",
            order.task, order.run, order.worker.id, order.worker.incarnation
        ));
        for delay in fate.delays() {
            self.execute_start_later(order.clone(), epoch, until, delay);
        }
        Self::no_answer(deadline).await
    }

    async fn stop(
        &self,
        order: &StopOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> Result<(), WorkerCallError> {
        self.call(&order.worker.id, deadline).await?;
        let fate = self.draw_fate(CallFaults::draw);
        if matches!(fate, CallFate::Usual) {
            return self.execute_stop(order, epoch);
        }
        for delay in fate.delays() {
            self.execute_stop_later(order.clone(), epoch, delay);
        }
        Self::no_answer(deadline).await
    }

    async fn throttle(
        &self,
        order: &ThrottleOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> Result<(), WorkerCallError> {
        self.call(&order.worker.id, deadline).await?;
        let mut data = self.lock();
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        worker.shares.insert(order.task.clone(), order.share);
        Ok(())
    }

    async fn report(
        &self,
        worker: &WorkerInfo,
        req: ReportRequest,
        deadline: Instant,
    ) -> Result<ReportAnswer, WorkerCallError> {
        let delay = self.lock().late_reports.get(&worker.key.id).copied();
        if let Some(delay) = delay {
            self.execute_report_later(worker.key.id.clone(), req, delay);
            return Self::no_answer(deadline).await;
        }
        self.call(&worker.key.id, deadline).await?;
        let fate = self.draw_fate(CallFaults::draw);
        if !matches!(fate, CallFate::Usual) {
            for delay in fate.delays() {
                self.execute_report_later(worker.key.id.clone(), req, delay);
            }
            return Self::no_answer(deadline).await;
        }
        let until = Instant::now() + req.wait;
        let mut incarnation = None;
        let answer = loop {
            {
                let clock = self.clock();
                let mut data = self.lock();
                let is_anonymous = data.anonymous.contains(&worker.key.id);
                let state = data.fenced_worker(req.epoch, &worker.key.id)?;
                let present = state.incarnation();
                if *incarnation.get_or_insert(present) != present {
                    // The connection was closed when the incarnation that held the request ended.
                    let address = SocketAddr::from(([127, 0, 0, 1], 2));
                    let err = CallError::ConnectionLost(address);
                    return Err(WorkerCallError::NoAnswer(err));
                }
                if let Some(lease) = req.lease_until {
                    state.extend_lease(lease.0, clock);
                }
                data.acknowledge(&worker.key.id, req.acknowledge);
                let state = data.fenced_worker(req.epoch, &worker.key.id)?;
                if !state.ended.is_empty() || until <= Instant::now() {
                    let running = state.runs.iter().map(|(task, (run, _))| RunReport {
                        task: task.clone(),
                        run: *run,
                        checkpoint: None,
                        progress: Percent(
                            u8::try_from(clock / 100 % 100).expect("remainder is below 100"),
                        ),
                        recent: None,
                    });
                    break ReportAnswer {
                        incarnation: (!is_anonymous).then_some(Incarnation(present)),
                        clock: WorkerClock(state.clock(clock)),
                        running: running.collect(),
                        ended: state.ended.clone(),
                        is_partial: false,
                    };
                }
            }
            sleep(POLL_INTERVAL).await;
        };
        self.link.wait_until_unfrozen().await;
        Ok(answer)
    }
}
