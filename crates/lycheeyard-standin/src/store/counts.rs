use serde::{Deserialize, Serialize};

/// Number of calls of each kind that the store has executed.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Range reads.
    pub reads: u64,
    /// Conditional writes, applied or not.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}
