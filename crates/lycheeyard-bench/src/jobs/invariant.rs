use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{AcceleratorRef, Placement, Preemption, Shape, Timestamp, WorkerId};
use std::collections::BTreeSet;
use thiserror::Error;

/// A violation of the rules that every planner must follow.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum InvariantError {
    /// The placement of a gang does not have exactly the accelerators of its shape.
    #[error("the placement of {job} does not match its shape {shape}")]
    PartialGang {
        /// The job.
        job: JobKey,
        /// The shape of the job.
        shape: Shape,
    },
    /// The accelerators of a worker or the workers of a gang are not adjacent, or a gang that fits in one rack spans several.
    #[error("the placement of {0} is not adjacent")]
    NotAdjacent(JobKey),
    /// The placement includes an accelerator that another job holds.
    #[error("the placement of {0} includes an accelerator that another job holds")]
    AcceleratorInUse(JobKey),
    /// The placement includes a worker that is unavailable or quarantined.
    #[error("the placement of {0} includes worker {1}, which is unavailable or quarantined")]
    WorkerUnavailable(JobKey, WorkerId),
    /// The job does not exist or is not in the state that the action requires.
    #[error("{0} is not in the state that the action requires")]
    WrongState(JobKey),
    /// The planner stops a job that cannot be preempted.
    #[error("{0} cannot be preempted")]
    NotPreemptible(JobKey),
    /// Jobs still wait although no event is left that could start them.
    #[error("{0} still waits and no event is left that could start it")]
    NeverStarts(JobKey),
    /// The simulation exceeded its time limit.
    #[error("jobs are left at the time limit of the simulation, at {0}")]
    TimeLimitExceeded(Timestamp),
}

pub(super) fn check_start(
    snapshot: &Snapshot,
    job: &JobKey,
    placement: &Placement,
) -> Result<(), InvariantError> {
    let record = &snapshot.jobs[job];
    check_shape(snapshot, job, record.spec.shape, placement)?;
    for allocation in &placement.allocations {
        let worker = &allocation.worker;
        if snapshot.unavailable.contains(worker) || snapshot.quarantined.contains(worker) {
            return Err(InvariantError::WorkerUnavailable(
                job.clone(),
                worker.clone(),
            ));
        }
    }
    let held: BTreeSet<AcceleratorRef> = snapshot
        .jobs
        .values()
        .filter_map(|other| other.placement.as_ref())
        .flat_map(Placement::accelerators)
        .collect();
    if placement
        .accelerators()
        .any(|accelerator| held.contains(&accelerator))
    {
        return Err(InvariantError::AcceleratorInUse(job.clone()));
    }
    Ok(())
}

fn check_shape(
    snapshot: &Snapshot,
    job: &JobKey,
    shape: Shape,
    placement: &Placement,
) -> Result<(), InvariantError> {
    let is_whole_gang = placement.allocations.len() == usize::from(shape.workers())
        && placement
            .allocations
            .iter()
            .all(|allocation| allocation.accelerators.len() == usize::from(shape.accelerators()));
    if !is_whole_gang {
        return Err(InvariantError::PartialGang {
            job: job.clone(),
            shape,
        });
    }
    let is_adjacent = placement.allocations.iter().all(|allocation| {
        let first = allocation.accelerators.first().map_or(0, |index| index.0);
        let last = allocation.accelerators.last().map_or(0, |index| index.0);
        last + 1 - first == shape.accelerators()
    });
    let workers: Vec<&WorkerId> = snapshot.data_centre.workers().map(|w| &w.id).collect();
    let first = placement.allocations.first().map(|a| &a.worker);
    let start = workers.iter().position(|id| Some(*id) == first);
    let is_in_order = start.is_some_and(|start| {
        let placed = placement.allocations.iter().map(|a| &a.worker);
        placed.eq(workers[start..]
            .iter()
            .copied()
            .take(placement.allocations.len()))
    });
    let rack_sizes = snapshot.data_centre.racks.iter().map(|r| r.workers.len());
    let largest_rack = rack_sizes.max().unwrap_or(0);
    let racks = snapshot.data_centre.racks.iter();
    let racks_touched = racks.filter(|rack| {
        let mut placed = placement.allocations.iter();
        placed.any(|a| rack.workers.iter().any(|w| w.id == a.worker))
    });
    let is_in_one_rack = usize::from(shape.workers()) > largest_rack || racks_touched.count() == 1;
    if is_adjacent && is_in_order && is_in_one_rack {
        Ok(())
    } else {
        Err(InvariantError::NotAdjacent(job.clone()))
    }
}

pub(super) fn check_stop(snapshot: &Snapshot, job: &JobKey) -> Result<(), InvariantError> {
    if snapshot.jobs[job].spec.preemption == Preemption::Never {
        return Err(InvariantError::NotPreemptible(job.clone()));
    }
    Ok(())
}
