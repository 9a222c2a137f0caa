use super::record::LeaseRecord;
use std::time::Duration;
use tokio::time::Instant;

/// A lease record of another holder and when this instance saw it first.
///
/// The holder counts its time from before it sent the record, so once an observer has seen one record
/// unchanged for the whole duration by its own clock, the holder's time is over. Clocks of two instances
/// are never compared; only their rates must agree, within [`RATE_MARGIN_DIVISOR`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Observation {
    version: u64,
    lapses_at: Instant,
}

/// The part of the duration that is added for the difference in rate of two clocks.
const RATE_MARGIN_DIVISOR: u32 = 100;

impl Observation {
    /// Continues `earlier` where it saw the same version; otherwise starts to count now.
    pub fn of(earlier: Option<Self>, version: u64, record: &LeaseRecord, now: Instant) -> Self {
        if let Some(earlier) = earlier
            && earlier.version == version
        {
            return earlier;
        }
        let duration: Duration = record.expires_at.since(record.granted_at);
        Self {
            version,
            lapses_at: now + duration + duration / RATE_MARGIN_DIVISOR,
        }
    }

    /// Whether the holder's time is over.
    pub fn has_lapsed(self, now: Instant) -> bool {
        self.lapses_at <= now
    }
}
