use super::{GangStatus, status::TaskView};
use crate::{SchedulerError, WorkerTable};
use futures::future::join_all;
use lycheeyard_platform::Workers;
use lycheeyard_protocol::{
    Allocation, JobRecord, ParseError, Placement, TaskId, Timestamp,
    platform::{
        PrepareReply, RenewRequest, StartRequest, StopRequest, TaskRequest, TaskState, WorkerReport,
    },
};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

const WORKER_CALL: Duration = Duration::from_millis(800);

/// Carries the steps of whole gangs out on the workers.
#[derive(Clone, Debug)]
pub struct GangDriver<W> {
    workers: W,
    table: WorkerTable,
}

impl<W: Workers> GangDriver<W> {
    /// Makes a driver over a table of workers.
    #[must_use]
    pub fn new(workers: W, table: WorkerTable) -> Self {
        Self { workers, table }
    }

    /// Sets all accelerators of a gang aside.
    ///
    /// # Errors
    /// Fails when one worker refuses or does not answer; the caller then stops the gang.
    pub async fn prepare(
        &self,
        record: &JobRecord,
        placement: &Placement,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let calls = placement
            .allocations
            .iter()
            .map(|allocation| self.prepare_one(record, allocation, lease_until));
        join_all(calls).await.into_iter().collect()
    }

    /// Starts all prepared tasks of a gang.
    ///
    /// # Errors
    /// Fails when one worker does not answer; the caller then stops the gang.
    pub async fn start(
        &self,
        record: &JobRecord,
        placement: &Placement,
        lease_until: Timestamp,
    ) -> Result<GangStatus, SchedulerError> {
        let calls = placement.allocations.iter().map(|allocation| async move {
            let task = task_id(record, allocation)?;
            let req = StartRequest {
                task: task.clone(),
                epoch: record.epoch,
                lease_until,
            };
            let address = self.table.address(&allocation.worker)?;
            let report = self.workers.start(address, req, call_deadline()).await?;
            Ok(view_of(&report, &task))
        });
        let views: Result<Vec<_>, SchedulerError> = join_all(calls).await.into_iter().collect();
        Ok(GangStatus::of(
            &views?.into_iter().map(Some).collect::<Vec<_>>(),
        ))
    }

    /// Moves the lease deadlines of a gang's tasks and sums up what the workers say.
    pub async fn renew(
        &self,
        record: &JobRecord,
        placement: &Placement,
        lease_until: Timestamp,
    ) -> GangStatus {
        let calls = placement.allocations.iter().map(|allocation| async move {
            let task = task_id(record, allocation).ok()?;
            let req = RenewRequest {
                tasks: BTreeSet::from([task.clone()]),
                lease_until,
            };
            let address = self.table.address(&allocation.worker).ok()?;
            let report = self
                .workers
                .renew(address, req, call_deadline())
                .await
                .ok()?;
            Some(view_of(&report, &task))
        });
        GangStatus::of(&join_all(calls).await)
    }

    /// Stops every task of a gang and sums up what the workers say.
    pub async fn stop(
        &self,
        record: &JobRecord,
        placement: &Placement,
        checkpoint: bool,
    ) -> GangStatus {
        let calls = placement.allocations.iter().map(|allocation| async move {
            let task = task_id(record, allocation).ok()?;
            let req = StopRequest {
                tasks: BTreeSet::from([task.clone()]),
                checkpoint,
            };
            let address = self.table.address(&allocation.worker).ok()?;
            let report = self
                .workers
                .stop(address, req, call_deadline())
                .await
                .ok()?;
            Some(view_of(&report, &task))
        });
        GangStatus::of(&join_all(calls).await)
    }

    async fn prepare_one(
        &self,
        record: &JobRecord,
        allocation: &Allocation,
        lease_until: Timestamp,
    ) -> Result<(), SchedulerError> {
        let spec = &record.spec;
        let req = TaskRequest {
            task: task_id(record, allocation)?,
            organisation: spec.organisation.clone(),
            job: spec.job.clone(),
            accelerators: allocation.accelerators.clone(),
            epoch: record.epoch,
            lease_until,
            checkpoint_ms: record.checkpoint_ms,
            payload: spec.payload.clone(),
        };
        let address = self.table.address(&allocation.worker)?;
        match self.workers.prepare(address, req, call_deadline()).await? {
            PrepareReply::Prepared => Ok(()),
            PrepareReply::Busy(_) | PrepareReply::StaleEpoch(_) => {
                Err(SchedulerError::Refused(allocation.worker.clone()))
            }
        }
    }
}

fn task_id(record: &JobRecord, allocation: &Allocation) -> Result<TaskId, ParseError> {
    let spec = &record.spec;
    let worker = &allocation.worker;
    format!(
        "{}.{}.{}.{worker}",
        spec.organisation, spec.job, record.attempts
    )
    .parse()
}

fn view_of(report: &WorkerReport, task: &TaskId) -> TaskView {
    let known = report.tasks.iter().find(|report| report.task == *task);
    known.map_or(
        TaskView {
            state: TaskState::Stopped,
            checkpoint_ms: 0,
        },
        |report| TaskView {
            state: report.state,
            checkpoint_ms: report.checkpoint_ms,
        },
    )
}

fn call_deadline() -> Instant {
    Instant::now() + WORKER_CALL
}
