use lycheeyard_protocol::Timestamp;
use std::time::{Duration, UNIX_EPOCH};

/// An instant as people read it, in Greenwich time; those that no calendar holds stay in milliseconds.
pub fn utc(at: Timestamp) -> String {
    const LAST_MS: u64 = 253_402_300_799_999; // the end of the year 9999
    if at.0 > LAST_MS {
        return at.to_string();
    }
    httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_millis(at.0))
}
