use lycheeyard_protocol::{
    AcceleratorRef, JobSpec,
    platform::{TaskReport, TaskState},
};
use lycheeyard_standin::StandinCluster;
use std::collections::BTreeSet;
use thiserror::Error;

/// A difference between the state of the stand-ins and the state that the tour expects.
#[derive(Debug, Error)]
pub enum TourCheckError {
    /// The store contains a number of tickets other than one.
    #[error("the store contains {0} tickets instead of 1")]
    TicketCount(usize),
    /// The workers run only a part of a gang, or none of it.
    #[error("{job} runs on {accelerators} accelerators of {workers} workers instead of {shape}")]
    IncompleteGang {
        /// The job.
        job: String,
        /// The number of accelerators that run it.
        accelerators: usize,
        /// The number of workers that run it.
        workers: usize,
        /// The shape that it requires.
        shape: String,
    },
    /// Two tasks run on one accelerator.
    #[error("two tasks run on accelerator {index} of {worker}")]
    SharedAccelerator {
        /// The worker.
        worker: String,
        /// The accelerator.
        index: u16,
    },
    /// The runners started a number of requests other than the number of responses.
    #[error("the runners started {started} requests instead of {answered}")]
    RequestCount {
        /// The number of requests that the runners started.
        started: u64,
        /// The number of requests that got a response.
        answered: u64,
    },
    /// A number of borrowing jobs other than one was preempted.
    #[error("{0} borrowing jobs were preempted instead of 1")]
    PreemptedBorrowers(usize),
}

/// Checks that the store contains the body of exactly one ticket.
///
/// # Errors
/// Fails when it contains none or more than one.
pub fn check_ticket(standins: &StandinCluster) -> Result<(), TourCheckError> {
    let bodies = standins.store.entries("tickets/").len();
    if bodies == 1 {
        Ok(())
    } else {
        Err(TourCheckError::TicketCount(bodies))
    }
}

/// Checks that the workers run all tasks of a gang.
///
/// # Errors
/// Fails when they run a part of it, or none of it.
pub fn check_gang_complete(
    standins: &StandinCluster,
    spec: &JobSpec,
) -> Result<(), TourCheckError> {
    let accelerators = running_accelerators(standins, spec);
    let workers: BTreeSet<_> = accelerators.iter().map(|used| &used.worker).collect();
    let is_complete = accelerators.len() == spec.shape.total() as usize
        && workers.len() == usize::from(spec.shape.workers());
    if is_complete {
        return Ok(());
    }
    Err(TourCheckError::IncompleteGang {
        job: format!("{}/{}", spec.organisation, spec.job),
        accelerators: accelerators.len(),
        workers: workers.len(),
        shape: spec.shape.to_string(),
    })
}

/// Checks that exactly one borrowing job has no running task and the others still run in full.
///
/// # Errors
/// Fails when another number was preempted, or one was preempted in part.
pub fn check_one_preempted(
    standins: &StandinCluster,
    borrowers: &[JobSpec],
) -> Result<(), TourCheckError> {
    let (preempted, running): (Vec<_>, Vec<_>) = borrowers
        .iter()
        .partition(|spec| running_accelerators(standins, spec).is_empty());
    if preempted.len() != 1 {
        return Err(TourCheckError::PreemptedBorrowers(preempted.len()));
    }
    running
        .into_iter()
        .try_for_each(|spec| check_gang_complete(standins, spec))
}

/// Checks that no two tasks run on one accelerator.
///
/// # Errors
/// Fails with the accelerator that two tasks share.
pub fn check_no_shared_accelerator(standins: &StandinCluster) -> Result<(), TourCheckError> {
    for (worker, standin) in &standins.workers {
        let mut used = BTreeSet::new();
        for task in standin
            .report()
            .tasks
            .iter()
            .filter(|task| is_running(task))
        {
            for index in &task.accelerators {
                if !used.insert(*index) {
                    return Err(TourCheckError::SharedAccelerator {
                        worker: worker.to_string(),
                        index: index.0,
                    });
                }
            }
        }
    }
    Ok(())
}

/// Checks that the runners started exactly as many requests as got a response.
///
/// # Errors
/// Fails when they started fewer or more.
pub fn check_requests(standins: &StandinCluster, answered: u64) -> Result<(), TourCheckError> {
    let started = standins
        .runners
        .values()
        .map(|runner| runner.counts().begun);
    let started: u64 = started.sum();
    if started == answered {
        Ok(())
    } else {
        Err(TourCheckError::RequestCount { started, answered })
    }
}

fn running_accelerators(standins: &StandinCluster, spec: &JobSpec) -> BTreeSet<AcceleratorRef> {
    let mut accelerators = BTreeSet::new();
    for (worker, standin) in &standins.workers {
        for task in standin.report().tasks {
            let is_of_job = task.organisation == spec.organisation && task.job == spec.job;
            if is_of_job && is_running(&task) {
                accelerators.extend(task.accelerators.iter().map(|index| AcceleratorRef {
                    worker: worker.clone(),
                    index: *index,
                }));
            }
        }
    }
    accelerators
}

fn is_running(task: &TaskReport) -> bool {
    task.state == TaskState::Running
}
