use lycheeyard_protocol::{Digest, Revision};
use serde::{Deserialize, Serialize};

/// The location of a stored configuration, whose parts never change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SnapshotPointer {
    /// The revision of the configuration.
    pub revision: Revision,
    /// The digest of its JSON text.
    pub digest: Digest,
    /// The number of keys over which the text is split.
    pub parts: usize,
}

impl SnapshotPointer {
    /// The key of one part.
    #[must_use]
    pub fn key(&self, part: usize) -> String {
        format!(
            "config-snapshots/{:012}-{}/{part:04}",
            self.revision.0, self.digest
        )
    }
}
