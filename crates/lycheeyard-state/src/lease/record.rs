use lycheeyard_protocol::{Epoch, InstanceId, Nonce, Timestamp};
use serde::{Deserialize, Serialize};

/// The deadline in the record of a lease that its holder resigned.
const RESIGNED: Timestamp = Timestamp(0);

/// A scheduler lease in the store. Both times are by the holder's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct LeaseRecord {
    pub holder: InstanceId,
    pub epoch: Epoch,
    pub granted_at: Timestamp,
    pub expires_at: Timestamp,
    pub nonce: Nonce,
}

impl LeaseRecord {
    /// Marks the lease as resigned.
    pub fn resign(&mut self) {
        self.expires_at = RESIGNED;
    }

    /// Whether the holder resigned the lease.
    pub fn is_resigned(&self) -> bool {
        self.expires_at == RESIGNED
    }
}
