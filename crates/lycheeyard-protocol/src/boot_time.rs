use crate::instant::instant;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Milliseconds since this machine booted, including the time that it spent suspended.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct BootTime(pub u64);

instant!(BootTime);

impl fmt::Display for BootTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}
