use lycheeyard_protocol::{Epoch, InstanceId, Nonce, Timestamp};
use serde::{Deserialize, Serialize};

/// The deadline of a lease that its holder gave up.
const RESIGNED: Timestamp = Timestamp(0);

/// A scheduler lease as it is stored. Both times are by the holder's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct LeaseRecord {
    pub holder: InstanceId,
    pub epoch: Epoch,
    pub granted_at: Timestamp,
    pub expires_at: Timestamp,
    pub nonce: Nonce,
}

impl LeaseRecord {
    /// Marks the lease as given up.
    pub fn resign(&mut self) {
        self.expires_at = RESIGNED;
    }

    /// Whether its holder gave it up.
    pub fn is_resigned(&self) -> bool {
        self.expires_at == RESIGNED
    }
}
