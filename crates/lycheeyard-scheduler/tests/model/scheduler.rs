//! What one scheduler knows.

use lycheeyard_protocol::{
    Epoch, JobRecord, WorkerId,
    platform::{TaskReport, TaskState, WorkerReport},
};
use lycheeyard_scheduler::{GangView, Sight, TaskSight, task_id};
use std::collections::BTreeSet;

/// A worker's last report as a scheduler knows it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub asked_at: u64,
    pub epoch: Epoch,
    pub tasks: Vec<TaskReport>,
}

/// What one scheduler knows of one job.
#[derive(Clone, Debug, Default)]
pub struct Known {
    pub stored: Option<(u64, JobRecord)>,
    pub doubt: Option<(u64, JobRecord)>,
    pub prepared: Option<BTreeSet<usize>>,
    pub effect_at: u64,
}

/// One scheduler.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    pub skew: u64,
    pub held: Option<(Epoch, u64)>,
    pub read_at: u64,
    pub seen: Vec<Option<Seen>>,
    pub jobs: Vec<Known>,
}

impl Scheduler {
    pub fn new(workers: usize, jobs: usize, skew: u64) -> Self {
        Self {
            skew,
            seen: vec![None; workers],
            jobs: vec![Known::default(); jobs],
            ..Self::default()
        }
    }

    pub fn lease(&self, now: u64) -> Option<Epoch> {
        let held = self.held.filter(|(_, until)| *until > now);
        held.map(|(epoch, _)| epoch)
    }

    pub fn absorb(&mut self, worker: usize, report: WorkerReport, asked_at: u64) {
        let newer = self.seen[worker]
            .as_ref()
            .is_none_or(|seen| seen.asked_at <= asked_at);
        if newer {
            self.seen[worker] = Some(Seen {
                asked_at,
                epoch: report.epoch,
                tasks: report.tasks,
            });
        }
    }

    /// The same rules as the daemon's: reports from before the last effect and tasks that an older epoch could still
    /// bring up are not counted.
    pub fn gang(&self, record: &JobRecord, since: u64, epoch: Epoch, now: u64) -> GangView {
        let allocations = record.placement.iter().flat_map(|p| &p.allocations);
        let tasks = allocations.map(|allocation| TaskSight {
            worker: allocation.worker.clone(),
            sight: self.sight(record, &allocation.worker, since, epoch, now),
        });
        GangView {
            tasks: tasks.collect(),
        }
    }

    fn sight(
        &self,
        record: &JobRecord,
        worker: &WorkerId,
        since: u64,
        epoch: Epoch,
        now: u64,
    ) -> Sight {
        let Some(seen) = &self.seen[super::world::index(worker)] else {
            return Sight::Unknown;
        };
        if seen.asked_at + super::world::SILENCE_MS <= now {
            return Sight::Silent;
        }
        if seen.asked_at < since {
            return Sight::Unknown;
        }
        let task = task_id(record, worker).expect("a name");
        match seen.tasks.iter().find(|report| report.task == task) {
            Some(report) => Sight::Seen {
                state: report.state,
                checkpoint_ms: report.checkpoint_ms,
            },
            None if seen.epoch < epoch => Sight::Unknown,
            None => Sight::Seen {
                state: TaskState::Stopped,
                checkpoint_ms: record.checkpoint_ms,
            },
        }
    }
}
