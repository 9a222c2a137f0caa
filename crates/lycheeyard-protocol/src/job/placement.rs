use crate::{AcceleratorIndex, AcceleratorRef, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The accelerators of one worker that a job holds.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Allocation {
    /// The worker.
    pub worker: WorkerId,
    /// The positions of the accelerators in the worker.
    pub accelerators: BTreeSet<AcceleratorIndex>,
}

/// All accelerators of a gang. A gang holds either all of them or none.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Placement {
    /// One allocation for each worker.
    pub allocations: Vec<Allocation>,
}

impl Placement {
    /// Every accelerator of the placement.
    pub fn accelerators(&self) -> impl Iterator<Item = AcceleratorRef> + '_ {
        self.allocations.iter().flat_map(|allocation| {
            allocation.accelerators.iter().map(|index| AcceleratorRef {
                worker: allocation.worker.clone(),
                index: *index,
            })
        })
    }
}
