use std::time::Duration;

const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const LATENCY_FACTOR: u32 = 20;
const TIMEOUT_GROWTH: u32 = 4;

/// Returns how long one try of an idempotent request may take before a retry is made, if the retry budget allows one.
///
/// `earlier_tries` is the number of tries already made and `latency` the smoothed response time of the service. At
/// least half of the remaining time is left for the next try.
#[must_use]
pub fn try_timeout(latency: Duration, earlier_tries: u32, remaining: Duration) -> Duration {
    let first = (latency * LATENCY_FACTOR).max(MIN_TIMEOUT);
    let grown = first.saturating_mul(TIMEOUT_GROWTH.saturating_pow(earlier_tries));
    grown.min(remaining / 2)
}
