//! Baseline planners to compare the policy with: first come first served, first fit in order of submission, and EASY.
//!
//! All ignore guarantees and never stop a job. They favour obvious correctness over speed.

use lycheeyard_policy::{Action, JobKey, Snapshot};
use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, DataCentre, JobRecord, JobState, Placement, Shape, Timestamp,
    Worker, WorkerId,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

type FreeAccelerators = BTreeMap<WorkerId, BTreeSet<AcceleratorIndex>>;

/// Starts jobs strictly in order of submission; a job that does not fit blocks all jobs behind it.
#[must_use]
pub fn plan_naive(snapshot: &Snapshot, _now: Timestamp) -> Vec<Action> {
    plan_in_order(snapshot, true)
}

/// Starts the jobs that fit, in order of submission; a job that does not fit blocks no other.
#[must_use]
pub fn plan_first_fit(snapshot: &Snapshot, _now: Timestamp) -> Vec<Action> {
    plan_in_order(snapshot, false)
}

fn plan_in_order(snapshot: &Snapshot, blocking: bool) -> Vec<Action> {
    let mut free = free_accelerators(snapshot);
    let mut actions = Vec::new();
    let mut unplaceable = BTreeSet::new();
    for (key, record) in queue_by_submission(snapshot) {
        let shape = record.spec.shape;
        if unplaceable.contains(&shape) {
            continue;
        }
        if let Some(placement) = first_fit(&snapshot.data_centre, &free, shape) {
            allocate(&mut free, &placement);
            actions.push(start(key, placement));
        } else if first_fit(&snapshot.data_centre, &all_accelerators(snapshot), shape).is_none() {
            actions.push(retire(key));
        } else if blocking {
            break;
        } else {
            unplaceable.insert(shape);
        }
    }
    actions
}

/// EASY backfill: the first job that does not fit gets a reservation; later jobs may start if they do not delay it.
#[must_use]
pub fn plan_easy(snapshot: &Snapshot, now: Timestamp) -> Vec<Action> {
    let mut free = free_accelerators(snapshot);
    let mut ends = declared_ends(snapshot, now);
    let mut actions = Vec::new();
    let mut reserved: Option<(Placement, Timestamp)> = None;
    let mut unplaceable = BTreeSet::new();
    for (key, record) in queue_by_submission(snapshot) {
        let shape = record.spec.shape;
        let expected_end = now.after(Duration::from_millis(record.spec.run_time_ms));
        let conflicting = reserved
            .as_ref()
            .filter(|(_, starts_at)| *starts_at < expected_end);
        if unplaceable.contains(&(shape, conflicting.is_some())) {
            continue;
        }
        let mut available = free.clone();
        if let Some((placement, _)) = conflicting {
            allocate(&mut available, placement);
        }
        if let Some(placement) = first_fit(&snapshot.data_centre, &available, shape) {
            allocate(&mut free, &placement);
            ends.push((expected_end, placement.clone()));
            actions.push(start(key, placement));
        } else if reserved.is_some() {
            unplaceable.insert((shape, conflicting.is_some()));
        } else if first_fit(&snapshot.data_centre, &all_accelerators(snapshot), shape).is_none() {
            actions.push(retire(key));
        } else {
            reserved = reservation(&snapshot.data_centre, &free, &ends, shape);
        }
    }
    actions
}

fn reservation(
    data_centre: &DataCentre,
    free: &FreeAccelerators,
    ends: &[(Timestamp, Placement)],
    shape: Shape,
) -> Option<(Placement, Timestamp)> {
    let mut ends = ends.to_vec();
    ends.sort();
    let mut free = free.clone();
    ends.into_iter().find_map(|(expected_end, placement)| {
        for accelerator in placement.accelerators() {
            if let Some(indices) = free.get_mut(&accelerator.worker) {
                indices.insert(accelerator.index);
            }
        }
        first_fit(data_centre, &free, shape).map(|placement| (placement, expected_end))
    })
}

fn declared_ends(snapshot: &Snapshot, now: Timestamp) -> Vec<(Timestamp, Placement)> {
    let holding = snapshot.jobs.values().filter_map(|record| {
        let placement = record.placement.clone()?;
        let started = record.started_at.unwrap_or(now);
        let expected_end = started.after(Duration::from_millis(record.spec.run_time_ms));
        Some((expected_end.max(now), placement))
    });
    holding.collect()
}

fn queue_by_submission(snapshot: &Snapshot) -> Vec<(&JobKey, &JobRecord)> {
    let mut queue: Vec<_> = snapshot
        .jobs
        .iter()
        .filter(|(_, record)| record.state == JobState::Queued && !record.cancel_requested)
        .collect();
    queue.sort_by_key(|(key, record)| (record.submitted_at, *key));
    queue
}

fn all_accelerators(snapshot: &Snapshot) -> FreeAccelerators {
    let workers = snapshot.data_centre.workers();
    workers
        .map(|worker| {
            let indices = (0..worker.accelerators).map(AcceleratorIndex).collect();
            (worker.id.clone(), indices)
        })
        .collect()
}

fn free_accelerators(snapshot: &Snapshot) -> FreeAccelerators {
    let mut free = all_accelerators(snapshot);
    free.retain(|worker, _| {
        !snapshot.unavailable.contains(worker) && !snapshot.quarantined.contains(worker)
    });
    let held = snapshot.jobs.values();
    for placement in held.filter_map(|record| record.placement.as_ref()) {
        allocate(&mut free, placement);
    }
    free
}

fn allocate(free: &mut FreeAccelerators, placement: &Placement) {
    for accelerator in placement.accelerators() {
        if let Some(indices) = free.get_mut(&accelerator.worker) {
            indices.remove(&accelerator.index);
        }
    }
}

/// Finds the first placement of a shape: within a rack, or across racks if no rack is large enough.
fn first_fit(data_centre: &DataCentre, free: &FreeAccelerators, shape: Shape) -> Option<Placement> {
    let count = usize::from(shape.workers());
    let racks = &data_centre.racks;
    if racks.iter().any(|rack| rack.workers.len() >= count) {
        return racks.iter().find_map(|rack| {
            let mut windows = rack.workers.windows(count);
            windows.find_map(|window| fit_on_workers(window.iter(), free, shape))
        });
    }
    (0..racks.len()).find_map(|first| {
        let workers: Vec<&Worker> = racks[first..]
            .iter()
            .flat_map(|rack| rack.workers.iter())
            .take(count)
            .collect();
        let enough = workers.len() == count;
        enough
            .then(|| fit_on_workers(workers.into_iter(), free, shape))
            .flatten()
    })
}

fn fit_on_workers<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    free: &FreeAccelerators,
    shape: Shape,
) -> Option<Placement> {
    let allocations: Option<Vec<Allocation>> = workers
        .map(|worker| {
            let indices = free.get(&worker.id)?;
            let run = indices.iter().find_map(|start| {
                let run = start.0..start.0 + shape.accelerators();
                let run: BTreeSet<_> = run.map(AcceleratorIndex).collect();
                run.is_subset(indices).then_some(run)
            });
            run.map(|accelerators| Allocation {
                worker: worker.id.clone(),
                accelerators,
            })
        })
        .collect();
    allocations.map(|allocations| Placement { allocations })
}

fn start(key: &JobKey, placement: Placement) -> Action {
    Action::Start {
        job: key.clone(),
        placement,
    }
}

fn retire(key: &JobKey) -> Action {
    Action::Retire {
        job: key.clone(),
        reason: "no part of the data centre holds it".to_owned(),
    }
}
