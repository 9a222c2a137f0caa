use super::task_id;
use crate::{SchedulerError, WorkerTable, WorkerViews};
use futures::future::join_all;
use lycheeyard_clients::Workers;
use lycheeyard_protocol::{
    Allocation, Epoch, JobRecord, TaskId, Timestamp, WorkerId,
    platform::{PrepareReply, StartRequest, StopRequest, TaskRequest},
};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

const WORKER_CALL: Duration = Duration::from_millis(800);

/// Carries the steps of whole gangs out on the workers; their answers go into the worker views.
#[derive(Clone, Debug)]
pub struct GangDriver<W> {
    workers: W,
    table: WorkerTable,
    views: WorkerViews,
}

impl<W: Workers> GangDriver<W> {
    /// Makes a driver over a table of workers.
    #[must_use]
    pub fn new(workers: W, table: WorkerTable, views: WorkerViews) -> Self {
        Self {
            workers,
            table,
            views,
        }
    }

    /// Sets all accelerators of a gang aside.
    ///
    /// # Errors
    /// Fails with the first worker that refuses or does not answer; the caller then stops the gang.
    pub async fn prepare(
        &self,
        record: &JobRecord,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let calls = allocations(record).map(|one| self.prepare_one(record, one, lease_until));
        join_all(calls).await.into_iter().collect()
    }

    /// Starts all prepared tasks of a gang; the same start again is harmless.
    ///
    /// # Errors
    /// Fails with the first worker that does not answer; whether its task runs is then seen in its reports.
    pub async fn start(
        &self,
        record: &JobRecord,
        epoch: Epoch,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let calls = allocations(record).map(|allocation| async move {
            let worker = &allocation.worker;
            let req = StartRequest {
                task: task_id(record, worker)?,
                epoch,
                lease_until,
            };
            let address = self.table.address(worker)?;
            let asked_at = Instant::now();
            let report = self.workers.start(address, req, call_deadline()).await?;
            self.views.absorb(worker, report, asked_at);
            Ok(())
        });
        join_all(calls).await.into_iter().collect()
    }

    /// Tells every worker of a gang to stop its task; what they answer is seen in the views.
    pub async fn stop(&self, record: &JobRecord, checkpoint: bool) {
        let calls = allocations(record).map(|allocation| async move {
            let worker = &allocation.worker;
            let req = StopRequest {
                tasks: BTreeSet::from([task_id(record, worker)?]),
                checkpoint,
            };
            let address = self.table.address(worker)?;
            let asked_at = Instant::now();
            let report = self.workers.stop(address, req, call_deadline()).await?;
            self.views.absorb(worker, report, asked_at);
            Ok::<(), SchedulerError>(())
        });
        for failed in join_all(calls).await.into_iter().filter_map(Result::err) {
            tracing::debug!("scheduler: a stop is unconfirmed: {failed}");
        }
    }

    /// Stops tasks of one worker at once.
    ///
    /// # Errors
    /// Fails when the worker does not answer.
    pub async fn stop_tasks(
        &self,
        worker: &WorkerId,
        tasks: BTreeSet<TaskId>,
    ) -> Result<(), SchedulerError> {
        let address = self.table.address(worker)?;
        let req = StopRequest {
            tasks,
            checkpoint: false,
        };
        let asked_at = Instant::now();
        let report = self.workers.stop(address, req, call_deadline()).await?;
        self.views.absorb(worker, report, asked_at);
        Ok(())
    }

    async fn prepare_one(
        &self,
        record: &JobRecord,
        allocation: &Allocation,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let spec = &record.spec;
        let worker = &allocation.worker;
        let req = TaskRequest {
            task: task_id(record, worker)?,
            organisation: spec.organisation.clone(),
            job: spec.job.clone(),
            accelerators: allocation.accelerators.clone(),
            epoch: record.epoch,
            lease_until,
            checkpoint_ms: record.checkpoint_ms,
            payload: spec.payload.clone(),
        };
        let address = self.table.address(worker)?;
        let reply = self.workers.prepare(address, req, call_deadline()).await;
        match reply {
            Ok(PrepareReply::Prepared) => Ok(()),
            Ok(PrepareReply::Busy(_) | PrepareReply::StaleEpoch(_)) => {
                self.views.avoid(worker);
                Err(SchedulerError::Refused(worker.clone()))
            }
            Err(err) => {
                self.views.avoid(worker);
                Err(err.into())
            }
        }
    }
}

fn allocations(record: &JobRecord) -> impl Iterator<Item = &Allocation> {
    let placement = record.placement.iter();
    placement.flat_map(|placement| &placement.allocations)
}

fn call_deadline() -> Instant {
    Instant::now() + WORKER_CALL
}
