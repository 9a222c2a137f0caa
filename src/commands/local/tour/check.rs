use lycheeyard_protocol::{
    AcceleratorRef, JobSpec,
    platform::{TaskReport, TaskState},
};
use lycheeyard_standin::StandinCluster;
use std::collections::BTreeSet;
use thiserror::Error;

/// What the stand-ins show otherwise than the system says.
#[derive(Debug, Error)]
pub enum TourFault {
    /// The store does not hold the ticket.
    #[error("the store holds {0} tickets instead of 1")]
    Tickets(usize),
    /// The workers do not run the whole gang.
    #[error("{job} runs on {accelerators} accelerators of {workers} workers instead of {shape}")]
    Gang {
        /// The job.
        job: String,
        /// The accelerators that run it.
        accelerators: usize,
        /// The workers that run it.
        workers: usize,
        /// The shape that it needs.
        shape: String,
    },
    /// Two tasks run on one accelerator.
    #[error("two tasks run on accelerator {index} of {worker}")]
    Shared {
        /// The worker.
        worker: String,
        /// The accelerator.
        index: u16,
    },
    /// The runners have begun another number of requests than were answered.
    #[error("the runners have begun {begun} requests instead of {sent}")]
    Requests {
        /// The requests that runners have begun.
        begun: u64,
        /// The requests that were answered.
        sent: u64,
    },
    /// Another number of borrowers than one gave way.
    #[error("{0} borrowers gave way instead of 1")]
    Borrowers(usize),
}

/// Checks that the store holds the body of exactly one ticket.
///
/// # Errors
/// Fails when it holds none or more.
pub fn check_ticket(standins: &StandinCluster) -> Result<(), TourFault> {
    let bodies = standins.store.entries("tickets/").len();
    if bodies == 1 {
        Ok(())
    } else {
        Err(TourFault::Tickets(bodies))
    }
}

/// Checks that the workers run a whole gang.
///
/// # Errors
/// Fails when they run a part of it, or nothing.
pub fn check_whole(standins: &StandinCluster, spec: &JobSpec) -> Result<(), TourFault> {
    let held = running_on(standins, spec);
    let workers: BTreeSet<_> = held.iter().map(|held| &held.worker).collect();
    let is_whole = held.len() == spec.shape.total() as usize
        && workers.len() == usize::from(spec.shape.workers());
    if is_whole {
        return Ok(());
    }
    Err(TourFault::Gang {
        job: format!("{}/{}", spec.organisation, spec.job),
        accelerators: held.len(),
        workers: workers.len(),
        shape: spec.shape.to_string(),
    })
}

/// Checks that exactly one borrower has no task left and the others run whole.
///
/// # Errors
/// Fails when another number gave way, or one gave way in part.
pub fn check_one_gave_way(
    standins: &StandinCluster,
    borrowers: &[JobSpec],
) -> Result<(), TourFault> {
    let (gone, kept): (Vec<_>, Vec<_>) = borrowers
        .iter()
        .partition(|spec| running_on(standins, spec).is_empty());
    if gone.len() != 1 {
        return Err(TourFault::Borrowers(gone.len()));
    }
    kept.into_iter()
        .try_for_each(|spec| check_whole(standins, spec))
}

/// Checks that no two tasks run on one accelerator.
///
/// # Errors
/// Fails with the accelerator that is shared.
pub fn check_exclusive(standins: &StandinCluster) -> Result<(), TourFault> {
    for (worker, standin) in &standins.workers {
        let mut held = BTreeSet::new();
        for task in standin.report().tasks.iter().filter(|task| runs(task)) {
            for index in &task.accelerators {
                if !held.insert(*index) {
                    return Err(TourFault::Shared {
                        worker: worker.to_string(),
                        index: index.0,
                    });
                }
            }
        }
    }
    Ok(())
}

/// Checks that the runners have begun as many requests as were answered.
///
/// # Errors
/// Fails when they have begun fewer or more.
pub fn check_requests(standins: &StandinCluster, sent: u64) -> Result<(), TourFault> {
    let begun = standins.runners.values().map(|one| one.counts().begun);
    let begun: u64 = begun.sum();
    if begun == sent {
        Ok(())
    } else {
        Err(TourFault::Requests { begun, sent })
    }
}

fn running_on(standins: &StandinCluster, spec: &JobSpec) -> BTreeSet<AcceleratorRef> {
    let mut held = BTreeSet::new();
    for (worker, standin) in &standins.workers {
        for task in standin.report().tasks {
            let is_of_job = task.organisation == spec.organisation && task.job == spec.job;
            if is_of_job && runs(&task) {
                held.extend(task.accelerators.iter().map(|index| AcceleratorRef {
                    worker: worker.clone(),
                    index: *index,
                }));
            }
        }
    }
    held
}

fn runs(task: &TaskReport) -> bool {
    task.state == TaskState::Running
}
