use lycheeyard_protocol::{AcceleratorIndex, Allocation, DataCentre, Placement, WorkerId};
use std::collections::{BTreeMap, BTreeSet};

/// The free accelerators of a data centre, by worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FreeMap {
    free: BTreeMap<WorkerId, BTreeSet<AcceleratorIndex>>,
}

impl FreeMap {
    /// All accelerators of the usable workers.
    #[must_use]
    pub fn new(data_centre: &DataCentre, unavailable: &BTreeSet<WorkerId>) -> Self {
        let free = data_centre
            .workers()
            .filter(|worker| !unavailable.contains(&worker.id))
            .map(|worker| {
                let indices = (0..worker.accelerators).map(AcceleratorIndex).collect();
                (worker.id.clone(), indices)
            })
            .collect();
        Self { free }
    }

    /// Takes a placement's accelerators out.
    pub fn take(&mut self, placement: &Placement) {
        for accelerator in placement.accelerators() {
            if let Some(free) = self.free.get_mut(&accelerator.worker) {
                free.remove(&accelerator.index);
            }
        }
    }

    /// Puts a placement's accelerators back; those of unusable workers stay out.
    pub fn release(&mut self, placement: &Placement) {
        for accelerator in placement.accelerators() {
            if let Some(free) = self.free.get_mut(&accelerator.worker) {
                free.insert(accelerator.index);
            }
        }
    }

    /// The first run of `count` adjacent free accelerators on a worker.
    #[must_use]
    pub fn find_run(&self, worker: &WorkerId, count: u16) -> Option<Allocation> {
        let free = self.free.get(worker)?;
        let run = free.iter().find_map(|start| {
            let run: BTreeSet<_> = (start.0..start.0 + count).map(AcceleratorIndex).collect();
            run.is_subset(free).then_some(run)
        });
        run.map(|accelerators| Allocation {
            worker: worker.clone(),
            accelerators,
        })
    }

    /// The number of free accelerators.
    #[must_use]
    pub fn count(&self) -> usize {
        self.free.values().map(BTreeSet::len).sum()
    }
}
