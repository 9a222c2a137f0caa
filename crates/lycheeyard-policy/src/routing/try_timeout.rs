use std::time::Duration;

const MIN_TIMEOUT: Duration = Duration::from_millis(100);
const LATENCY_FACTOR: u32 = 20;
const TIMEOUT_GROWTH: u32 = 4;

/// How long one try of an idempotent request may take before another one is made, if the budget allows one.
///
/// `earlier_tries` is the number of earlier tries and `latency` the smoothed time of an answer of the service. At least half
/// of the remaining time is left for the next try.
#[must_use]
pub fn try_timeout(latency: Duration, earlier_tries: u32, remaining: Duration) -> Duration {
    let first = (latency * LATENCY_FACTOR).max(MIN_TIMEOUT);
    let grown = first.saturating_mul(TIMEOUT_GROWTH.saturating_pow(earlier_tries));
    grown.min(remaining / 2)
}
