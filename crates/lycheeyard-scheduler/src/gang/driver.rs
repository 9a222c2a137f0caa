use super::task_id;
use crate::{SchedulerError, WorkerReports, WorkerTable};
use futures::future::join_all;
use lycheeyard_clients::Workers;
use lycheeyard_protocol::{
    Allocation, Epoch, JobRecord, TaskId, Timestamp, WorkerId,
    platform::{PrepareReply, StartRequest, StopRequest, TaskRequest},
};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

const WORKER_CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Sends calls to all workers of a gang at once and records the reports that they return.
#[derive(Clone, Debug)]
pub struct GangDriver<W> {
    workers: W,
    table: WorkerTable,
    reports: WorkerReports,
}

impl<W: Workers> GangDriver<W> {
    /// Creates a driver that finds the workers' addresses in the given table.
    #[must_use]
    pub fn new(workers: W, table: WorkerTable, reports: WorkerReports) -> Self {
        Self {
            workers,
            table,
            reports,
        }
    }

    /// Reserves all accelerators of a gang.
    ///
    /// # Errors
    /// Returns the error of the first worker that refuses or does not answer; the caller then stops the gang.
    pub async fn prepare(
        &self,
        record: &JobRecord,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let calls = allocations(record)
            .map(|allocation| self.prepare_task(record, allocation, lease_until));
        join_all(calls).await.into_iter().collect()
    }

    /// Starts all prepared tasks of a gang. The call is idempotent.
    ///
    /// # Errors
    /// Returns the error of the first worker that does not answer; its next report shows whether its task runs.
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
            let requested_at = Instant::now();
            let report = self.workers.start(address, req, call_deadline()).await?;
            self.reports.record(worker, report, requested_at);
            Ok(())
        });
        join_all(calls).await.into_iter().collect()
    }

    /// Sends a stop to every worker of a gang. The workers' reports show the result; failed calls are only logged.
    pub async fn stop(&self, record: &JobRecord, checkpoint: bool) {
        let calls = allocations(record).map(|allocation| async move {
            let worker = &allocation.worker;
            let req = StopRequest {
                tasks: BTreeSet::from([task_id(record, worker)?]),
                checkpoint,
            };
            let address = self.table.address(worker)?;
            let requested_at = Instant::now();
            let report = self.workers.stop(address, req, call_deadline()).await?;
            self.reports.record(worker, report, requested_at);
            Ok::<(), SchedulerError>(())
        });
        for failed in join_all(calls).await.into_iter().filter_map(Result::err) {
            tracing::debug!("scheduler: a worker did not confirm a stop: {failed}");
        }
    }

    /// Stops tasks of one worker without a checkpoint.
    ///
    /// # Errors
    /// Fails if the worker has no known address or does not answer.
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
        let requested_at = Instant::now();
        let report = self.workers.stop(address, req, call_deadline()).await?;
        self.reports.record(worker, report, requested_at);
        Ok(())
    }

    async fn prepare_task(
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
                self.reports.avoid(worker);
                Err(SchedulerError::Refused(worker.clone()))
            }
            Err(err) => {
                self.reports.avoid(worker);
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
    Instant::now() + WORKER_CALL_TIMEOUT
}
