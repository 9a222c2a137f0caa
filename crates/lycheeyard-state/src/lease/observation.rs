use super::record::LeaseRecord;
use std::time::Duration;
use tokio::time::Instant;

/// A lease record of another holder, and when this observer may treat it as expired.
///
/// The holder counts the lease duration from before it sent the record. Once the observer has read the same
/// record for the whole duration by its own clock, the holder's lease has expired. The clocks of two
/// instances are never compared; only their rates must agree, within [`RATE_MARGIN_DIVISOR`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    version: u64,
    expires_at: Instant,
}

/// The observer adds 1/100 of the duration, since the clocks of two instances may run at different rates.
const RATE_MARGIN_DIVISOR: u32 = 100;

impl Observation {
    /// Returns `earlier` if it is of the same version; otherwise starts an observation now.
    pub fn of(earlier: Option<Self>, version: u64, record: &LeaseRecord, now: Instant) -> Self {
        if let Some(earlier) = earlier
            && earlier.version == version
        {
            return earlier;
        }
        let duration: Duration = record.expires_at.since(record.granted_at);
        Self {
            version,
            expires_at: now + duration + duration / RATE_MARGIN_DIVISOR,
        }
    }

    /// Whether the holder's lease has expired.
    pub fn has_expired(self, now: Instant) -> bool {
        self.expires_at <= now
    }
}
