use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Milliseconds since this machine booted, counting the time that it spent suspended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BootTime(pub u64);

impl BootTime {
    /// The instant `delay` after this one.
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }

    /// The time from `earlier` to this instant, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// Whether this instant, taken as a deadline, has passed at `now`.
    #[must_use]
    pub fn is_past(self, now: Self) -> bool {
        self <= now
    }
}

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
