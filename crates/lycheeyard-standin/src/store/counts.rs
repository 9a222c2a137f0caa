use serde::{Deserialize, Serialize};

/// How many calls of each kind the store has answered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCounts {
    /// Range reads.
    pub reads: u64,
    /// Conditional writes, whether they took effect or not.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}
