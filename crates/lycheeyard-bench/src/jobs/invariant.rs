use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{AcceleratorRef, Placement, Preemption, Shape, Timestamp, WorkerId};
use std::collections::BTreeSet;
use thiserror::Error;

/// An action that no planner may ask for.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum InvariantError {
    /// A gang would not get the accelerators of its shape.
    #[error("{job} needs {shape} and would not get it")]
    PartialGang {
        /// The job.
        job: JobKey,
        /// What it needs.
        shape: Shape,
    },
    /// The accelerators of a worker would not be neighbours, or the workers would not.
    #[error("{0} would get accelerators that are not adjacent")]
    NotAdjacent(JobKey),
    /// Two jobs would hold one accelerator.
    #[error("{0} would get an accelerator that another job holds")]
    Overlap(JobKey),
    /// A task would start on a worker that must not get any.
    #[error("{0} would start on worker {1}, which is not usable")]
    Unusable(JobKey, WorkerId),
    /// The job is not known or not in the state that the action needs.
    #[error("{0} is not in a state for this action")]
    WrongState(JobKey),
    /// A job would be stopped that must be left alone.
    #[error("{0} must not be stopped")]
    MustNotStop(JobKey),
    /// Jobs are left that will never start.
    #[error("{0} still waits when nothing runs and nothing will happen")]
    Stuck(JobKey),
    /// The simulation did not come to an end.
    #[error("work is left at {0}")]
    Endless(Timestamp),
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
            return Err(InvariantError::Unusable(job.clone(), worker.clone()));
        }
    }
    let held: BTreeSet<AcceleratorRef> = snapshot
        .jobs
        .values()
        .filter_map(|other| other.placement.as_ref())
        .flat_map(Placement::accelerators)
        .collect();
    if placement.accelerators().any(|one| held.contains(&one)) {
        return Err(InvariantError::Overlap(job.clone()));
    }
    Ok(())
}

fn check_shape(
    snapshot: &Snapshot,
    job: &JobKey,
    shape: Shape,
    placement: &Placement,
) -> Result<(), InvariantError> {
    let whole = placement.allocations.len() == usize::from(shape.workers())
        && placement
            .allocations
            .iter()
            .all(|allocation| allocation.accelerators.len() == usize::from(shape.accelerators()));
    if !whole {
        return Err(InvariantError::PartialGang {
            job: job.clone(),
            shape,
        });
    }
    let adjacent = placement.allocations.iter().all(|allocation| {
        let first = allocation.accelerators.first().map_or(0, |index| index.0);
        let last = allocation.accelerators.last().map_or(0, |index| index.0);
        last + 1 - first == shape.accelerators()
    });
    let workers: Vec<&WorkerId> = snapshot.data_centre.workers().map(|w| &w.id).collect();
    let first = placement.allocations.first().map(|a| &a.worker);
    let start = workers.iter().position(|id| Some(*id) == first);
    let in_order = start.is_some_and(|start| {
        let placed = placement.allocations.iter().map(|a| &a.worker);
        placed.eq(workers[start..]
            .iter()
            .copied()
            .take(placement.allocations.len()))
    });
    let longest = snapshot.data_centre.racks.iter().map(|r| r.workers.len());
    let longest = longest.max().unwrap_or(0);
    let racks = snapshot.data_centre.racks.iter();
    let racks_touched = racks.filter(|rack| {
        let mut placed = placement.allocations.iter();
        placed.any(|a| rack.workers.iter().any(|w| w.id == a.worker))
    });
    let one_rack = usize::from(shape.workers()) > longest || racks_touched.count() == 1;
    if adjacent && in_order && one_rack {
        Ok(())
    } else {
        Err(InvariantError::NotAdjacent(job.clone()))
    }
}

pub(super) fn check_stop(snapshot: &Snapshot, job: &JobKey) -> Result<(), InvariantError> {
    if snapshot.jobs[job].spec.preemption == Preemption::Never {
        return Err(InvariantError::MustNotStop(job.clone()));
    }
    Ok(())
}
