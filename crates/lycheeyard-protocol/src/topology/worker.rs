use crate::{Bytes, Cores, WorkerId};
use serde::{Deserialize, Serialize};

/// A worker as operators configure it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Worker {
    /// The worker's name.
    pub id: WorkerId,
    /// The number of accelerators, which are adjacent in order.
    pub accelerators: u16,
    /// The number of processor cores.
    pub cores: Cores,
    /// The amount of memory.
    pub memory: Bytes,
}
