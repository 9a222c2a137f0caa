//! The state of one scheduler.

use lycheeyard_protocol::{
    Epoch, JobRecord, WorkerId,
    platform::{TaskReport, TaskState, WorkerReport},
};
use lycheeyard_scheduler::{GangView, ObservedTask, TaskObservation, task_id};
use std::collections::BTreeSet;

/// The last report that a scheduler received from a worker.
#[derive(Clone, Debug, Default)]
pub struct LastReport {
    pub requested_at: u64,
    pub epoch: Epoch,
    pub tasks: Vec<TaskReport>,
}

/// The view that a scheduler has of one job. Each record comes with its version.
#[derive(Clone, Debug, Default)]
pub struct JobView {
    pub stored: Option<(u64, JobRecord)>,
    pub unconfirmed_write: Option<(u64, JobRecord)>,
    pub prepared: Option<BTreeSet<usize>>,
    pub effect_at: u64,
}

/// One scheduler, with its clock error and its lease. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub skew: u64,
    pub held: Option<(Epoch, u64)>,
    pub read_at: u64,
    pub reports: Vec<Option<LastReport>>,
    pub jobs: Vec<JobView>,
}

impl Scheduler {
    pub fn new(workers: usize, jobs: usize, skew: u64) -> Self {
        Self {
            skew,
            reports: vec![None; workers],
            jobs: vec![JobView::default(); jobs],
            ..Self::default()
        }
    }

    pub fn lease(&self, now: u64) -> Option<Epoch> {
        let held = self.held.filter(|(_, until)| *until > now);
        held.map(|(epoch, _)| epoch)
    }

    pub fn record_report(&mut self, worker: usize, report: WorkerReport, requested_at: u64) {
        let is_newer = self.reports[worker]
            .as_ref()
            .is_none_or(|last| last.requested_at <= requested_at);
        if is_newer {
            self.reports[worker] = Some(LastReport {
                requested_at,
                epoch: report.epoch,
                tasks: report.tasks,
            });
        }
    }

    /// Applies the same rules as the real scheduler: ignores reports requested before the last effect, and does not
    /// count a task as stopped while a call of an older epoch could still start it.
    pub fn gang(&self, record: &JobRecord, since: u64, epoch: Epoch, now: u64) -> GangView {
        let allocations = record.placement.iter().flat_map(|p| &p.allocations);
        let tasks = allocations.map(|allocation| ObservedTask {
            worker: allocation.worker.clone(),
            observation: self.observation(record, &allocation.worker, since, epoch, now),
        });
        GangView {
            tasks: tasks.collect(),
        }
    }

    fn observation(
        &self,
        record: &JobRecord,
        worker: &WorkerId,
        since: u64,
        epoch: Epoch,
        now: u64,
    ) -> TaskObservation {
        let Some(last) = &self.reports[super::simulation::worker_index(worker)] else {
            return TaskObservation::Unknown;
        };
        if last.requested_at + super::simulation::SILENCE_MS <= now {
            return TaskObservation::Silent;
        }
        if last.requested_at < since {
            return TaskObservation::Unknown;
        }
        let task = task_id(record, worker).expect("identifier is valid");
        match last.tasks.iter().find(|report| report.task == task) {
            Some(report) => TaskObservation::Reported {
                state: report.state,
                checkpoint_ms: report.checkpoint_ms,
            },
            None if last.epoch < epoch => TaskObservation::Unknown,
            None => TaskObservation::Reported {
                state: TaskState::Stopped,
                checkpoint_ms: record.checkpoint_ms,
            },
        }
    }
}
