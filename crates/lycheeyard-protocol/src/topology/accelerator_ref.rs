use crate::{AcceleratorIndex, WorkerId};
use serde::{Deserialize, Serialize};

/// Names one accelerator of one worker.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct AcceleratorRef {
    /// The worker.
    pub worker: WorkerId,
    /// The accelerator's position in the worker.
    pub index: AcceleratorIndex,
}
