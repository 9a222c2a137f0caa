use super::{FakeWorkers, Worker};
use lycheeyard_dispatch::{ReportRequest, StartReply, StartResponse, WorkerCallError, WorkerClock};
use lycheeyard_jobs::{StartOrder, StopOrder};
use lycheeyard_protocol::{Epoch, WorkerId};
use std::time::Duration;
use tokio::time::{Instant, sleep};

impl FakeWorkers {
    /// Executes a report request after a delay. Nobody gets the answer.
    pub(super) fn execute_report_later(&self, id: WorkerId, req: ReportRequest, delay: Duration) {
        let workers = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let clock = workers.clock();
            let mut data = workers.lock();
            let Ok(worker) = data.fenced_worker(req.epoch, &id) else {
                return;
            };
            if let Some(lease) = req.lease_until {
                worker.extend_lease(lease.0, clock);
            }
            let discards = worker
                .ended
                .iter()
                .filter(|end| end.number <= req.acknowledge);
            let text = format!(
                "epoch {}, acknowledges through {}, discards {} ends of {id}/{}",
                req.epoch,
                req.acknowledge,
                discards.count(),
                worker.incarnation()
            );
            data.acknowledge(&id, req.acknowledge);
            data.trace
                .note(clock, &format!("late report request, {text}"));
        });
    }

    /// Executes a start order after a delay. Nobody gets the answer.
    pub(super) fn execute_start_later(
        &self,
        order: StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        delay: Duration,
    ) {
        let workers = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = workers.execute_start(&order, epoch, until);
        });
    }

    /// Executes a stop order after a delay. Nobody gets the answer.
    pub(super) fn execute_stop_later(&self, order: StopOrder, epoch: Epoch, delay: Duration) {
        let workers = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let _ = workers.execute_stop(&order, epoch);
        });
    }

    /// Executes a stop order as a worker does.
    pub(super) fn execute_stop(
        &self,
        order: &StopOrder,
        epoch: Epoch,
    ) -> Result<(), WorkerCallError> {
        let clock = self.clock();
        let mut data = self.lock();
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        worker.stop(&order.task, order.run, clock);
        let by = worker.incarnation();
        let call = ("stop", &order.task, order.run, epoch);
        data.trace.note_call(clock, call, &order.worker, by, "done");
        Ok(())
    }

    /// Executes a start order as a worker does.
    pub(super) fn execute_start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
    ) -> Result<StartResponse, WorkerCallError> {
        let reply = self.try_start(order, epoch, until);
        let clock = self.clock();
        let mut data = self.lock();
        let worker = data.workers.get(&order.worker.id);
        let by = worker.map_or(0, Worker::incarnation);
        let on_worker = worker.map(|worker| WorkerClock(worker.clock(clock)));
        let call = ("start", &order.task, order.run, epoch);
        let outcome = format!("{reply:?}");
        data.trace
            .note_call(clock, call, &order.worker, by, &outcome);
        reply.map(|reply| StartResponse {
            reply,
            clock: on_worker,
        })
    }

    fn try_start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
    ) -> Result<StartReply, WorkerCallError> {
        let clock = self.clock();
        let mut data = self.lock();
        let runs_elsewhere = data
            .workers
            .iter()
            .any(|(id, worker)| *id != order.worker.id && worker.runs.contains_key(&order.task));
        let worker = data.fenced_worker(epoch, &order.worker.id)?;
        if until.0 <= worker.clock(clock) {
            return Ok(StartReply::Late);
        }
        worker.extend_lease(until.0, clock);
        if worker
            .runs
            .get(&order.task)
            .is_some_and(|(run, _)| *run == order.run)
        {
            return Ok(StartReply::Present);
        }
        if worker
            .closed
            .get(&order.task)
            .is_some_and(|closed| *closed >= order.run)
        {
            return Ok(StartReply::Superseded);
        }
        let is_duplicate = runs_elsewhere || worker.runs.contains_key(&order.task);
        let run_time: u64 = order
            .payload
            .parse()
            .expect("payload is a run time in milliseconds");
        let end = Instant::now() + Duration::from_millis(run_time);
        worker.runs.insert(order.task.clone(), (order.run, end));
        if is_duplicate {
            data.violations.push(format!("{} runs twice", order.task));
        }
        data.note_start(&order.task, order.run, epoch, clock);
        Ok(StartReply::Present)
    }
}
