use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{AcceleratorIndex, JobState, Placement, Shape, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The idle accelerators after a round.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct IdleNow {
    /// All idle accelerators.
    pub idle: u32,
    /// Those that neither the largest waiting job nor a waiting guaranteed shape can use.
    pub useless: u32,
}

pub(super) fn idle_now(snapshot: &Snapshot) -> IdleNow {
    let free = free_accelerators(snapshot);
    let idle = free.values().map(BTreeSet::len).sum::<usize>();
    let wanted = wanted_shapes(snapshot);
    let mut usable: BTreeSet<(&WorkerId, AcceleratorIndex)> = BTreeSet::new();
    for shape in wanted {
        for window in windows(snapshot, shape) {
            let runs: Vec<_> = window.iter().map(|id| runs(&free[id], shape)).collect();
            if runs.iter().all(|run| !run.is_empty()) {
                for (id, run) in window.iter().zip(runs) {
                    usable.extend(run.into_iter().map(|index| (*id, index)));
                }
            }
        }
    }
    let count = |len: usize| u32::try_from(len).unwrap_or(u32::MAX);
    IdleNow {
        idle: count(idle),
        useless: count(idle) - count(usable.len()),
    }
}

fn free_accelerators(snapshot: &Snapshot) -> BTreeMap<&WorkerId, BTreeSet<AcceleratorIndex>> {
    let mut free: BTreeMap<_, BTreeSet<_>> = snapshot
        .data_centre
        .workers()
        .map(|worker| {
            let all = (0..worker.accelerators).map(AcceleratorIndex).collect();
            let barred = snapshot.unavailable.contains(&worker.id);
            (&worker.id, if barred { BTreeSet::new() } else { all })
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

/// The shape of the largest waiting job and those of waiting guaranteed jobs.
fn wanted_shapes(snapshot: &Snapshot) -> BTreeSet<Shape> {
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
    let wanted = guaranteed.chain(largest);
    wanted.map(|(_, shape, _)| *shape).collect()
}

fn windows(snapshot: &Snapshot, shape: Shape) -> Vec<Vec<&WorkerId>> {
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
        let from_here = racks[number..].iter().flat_map(|rack| &rack.workers);
        let ids: Vec<_> = from_here.map(|worker| &worker.id).take(count).collect();
        if ids.len() == count {
            windows.push(ids);
        }
    }
    windows
}

/// The accelerators that are part of a run of the shape's length.
fn runs(free: &BTreeSet<AcceleratorIndex>, shape: Shape) -> BTreeSet<AcceleratorIndex> {
    let length = shape.accelerators();
    free.iter()
        .map(|start| (start.0..start.0 + length).map(AcceleratorIndex))
        .filter(|run| run.clone().all(|index| free.contains(&index)))
        .flatten()
        .collect()
}
