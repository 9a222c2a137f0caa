use lycheeyard_protocol::Timestamp;
use std::time::{Duration, UNIX_EPOCH};

/// Formats a timestamp as an HTTP date in UTC. A timestamp after the year 9999 is printed in
/// milliseconds, because the date formatter does not support it.
pub fn format_utc(at: Timestamp) -> String {
    const MAX_DATE_MS: u64 = 253_402_300_799_999; // the end of the year 9999
    if at.0 > MAX_DATE_MS {
        return at.to_string();
    }
    httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_millis(at.0))
}
