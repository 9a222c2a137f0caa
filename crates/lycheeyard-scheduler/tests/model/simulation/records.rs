//! Helper functions for job records.

use super::worker_index;
use lycheeyard_protocol::{
    AcceleratorIndex, Allocation, JobRecord, JobSpec, Preemption, Priority, Shape, WorkerId,
};
use std::collections::BTreeSet;

/// Stores a record if it is newer. This also settles an unconfirmed write, which named the older version.
pub(super) fn record_version(
    view: &mut crate::scheduler::JobView,
    version: u64,
    record: JobRecord,
) {
    if view.stored.as_ref().is_some_and(|(old, _)| *old >= version) {
        return;
    }
    view.unconfirmed_write = None;
    view.prepared = None;
    view.stored = Some((version, record));
}

pub(super) fn never_started(record: &JobRecord) -> bool {
    record
        .stopping
        .as_ref()
        .is_some_and(|note| note.never_started)
}

pub(super) fn is_placed_on(record: &JobRecord, worker: &WorkerId) -> bool {
    let mut allocations = record.placement.iter().flat_map(|p| &p.allocations);
    allocations.any(|allocation| allocation.worker == *worker)
}

pub(super) fn workers_of(record: &JobRecord) -> Vec<usize> {
    let allocations = record.placement.iter().flat_map(|p| &p.allocations);
    allocations
        .map(|allocation| worker_index(&allocation.worker))
        .collect()
}

pub(super) fn allocation(worker: WorkerId) -> Allocation {
    Allocation {
        worker,
        accelerators: BTreeSet::from([AcceleratorIndex(0)]),
    }
}

pub(super) fn spec(job: usize) -> JobSpec {
    JobSpec {
        organisation: "org-a".parse().expect("identifier is valid"),
        job: format!("job-{job}").parse().expect("identifier is valid"),
        data_centre: "dc1".parse().expect("identifier is valid"),
        shape: Shape::new(2, 1).expect("shape is valid"),
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: 60_000,
        window_ms: None,
        payload: String::new(),
    }
}
