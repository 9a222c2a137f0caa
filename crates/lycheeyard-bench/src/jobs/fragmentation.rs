use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{AcceleratorIndex, JobState, Placement, Shape, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The numbers of idle accelerators after a planning round.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IdleAccelerators {
    /// All accelerators that are idle on available workers.
    pub idle: u32,
    /// The idle accelerators that neither the largest waiting job nor a waiting guaranteed job can use.
    pub unusable: u32,
}

pub(super) fn count_idle(snapshot: &Snapshot) -> IdleAccelerators {
    let free = free_accelerators(snapshot);
    let idle = free.values().map(BTreeSet::len).sum::<usize>();
    let requested = requested_shapes(snapshot);
    let mut usable: BTreeSet<(&WorkerId, AcceleratorIndex)> = BTreeSet::new();
    for shape in requested {
        for window in candidate_windows(snapshot, shape) {
            let usable_by_worker: Vec<_> = window
                .iter()
                .map(|id| adjacent_accelerators(&free[id], shape))
                .collect();
            if usable_by_worker.iter().all(|indices| !indices.is_empty()) {
                for (id, indices) in window.iter().zip(usable_by_worker) {
                    usable.extend(indices.into_iter().map(|index| (*id, index)));
                }
            }
        }
    }
    let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
    IdleAccelerators {
        idle: count(idle),
        unusable: count(idle) - count(usable.len()),
    }
}

fn free_accelerators(snapshot: &Snapshot) -> BTreeMap<&WorkerId, BTreeSet<AcceleratorIndex>> {
    let mut free: BTreeMap<_, BTreeSet<_>> = snapshot
        .data_centre
        .workers()
        .map(|worker| {
            let all = (0..worker.accelerators).map(AcceleratorIndex).collect();
            let is_unavailable = snapshot.unavailable.contains(&worker.id);
            (
                &worker.id,
                if is_unavailable { BTreeSet::new() } else { all },
            )
        })
        .collect();
    let placements = snapshot
        .jobs
        .values()
        .filter_map(|job| job.placement.as_ref());
    for accelerator in placements.flat_map(Placement::accelerators) {
        if let Some(indices) = free.get_mut(&accelerator.worker) {
            indices.remove(&accelerator.index);
        }
    }
    free
}

/// The shapes of the largest waiting job and of all waiting guaranteed jobs.
fn requested_shapes(snapshot: &Snapshot) -> BTreeSet<Shape> {
    let waiting: Vec<(&JobKey, Shape, bool)> = snapshot
        .jobs
        .iter()
        .filter(|(_, job)| job.state == JobState::Queued)
        .map(|(key, job)| (key, job.spec.shape, job.spec.guaranteed))
        .collect();
    let largest = waiting
        .iter()
        .max_by_key(|(_, shape, _)| (shape.total(), *shape));
    let guaranteed = waiting.iter().filter(|(_, _, guaranteed)| *guaranteed);
    let requested = guaranteed.chain(largest);
    requested.map(|(_, shape, _)| *shape).collect()
}

fn candidate_windows(snapshot: &Snapshot, shape: Shape) -> Vec<Vec<&WorkerId>> {
    let count = usize::from(shape.workers());
    let racks = &snapshot.data_centre.racks;
    let fits_rack = racks.iter().any(|rack| rack.workers.len() >= count);
    let mut windows = Vec::new();
    for (number, rack) in racks.iter().enumerate() {
        if fits_rack {
            let ids: Vec<_> = rack.workers.iter().map(|worker| &worker.id).collect();
            windows.extend(ids.windows(count).map(<[&WorkerId]>::to_vec));
            continue;
        }
        let from_this_rack = racks[number..].iter().flat_map(|rack| &rack.workers);
        let ids: Vec<_> = from_this_rack
            .map(|worker| &worker.id)
            .take(count)
            .collect();
        if ids.len() == count {
            windows.push(ids);
        }
    }
    windows
}

/// The free accelerators that belong to a sequence of adjacent free ones which is long enough for the shape.
fn adjacent_accelerators(
    free: &BTreeSet<AcceleratorIndex>,
    shape: Shape,
) -> BTreeSet<AcceleratorIndex> {
    let length = shape.accelerators();
    free.iter()
        .map(|start| (start.0..start.0 + length).map(AcceleratorIndex))
        .filter(|sequence| sequence.clone().all(|index| free.contains(&index)))
        .flatten()
        .collect()
}
