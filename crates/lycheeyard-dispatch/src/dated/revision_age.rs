use crate::ports::StoreRevision;
use serde::{Deserialize, Serialize};

/// How long the store had certainly reached a revision before it reached a later one.
///
/// It tells an instance that has seen only the later one when that was.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RevisionAge {
    /// The revision.
    pub revision: StoreRevision,
    /// The time from then until the later one was reached, or less, in milliseconds.
    pub age_ms: u64,
}
