use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a run of a task, counted from 1. The members of a gang share it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

/// The number that a worker gives to the end of a run. It increases within one incarnation of the worker.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct EndNumber(pub u64);

/// The name that a worker gave to saved progress. The scheduler does not interpret it.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Checkpoint(pub String);

/// Permits the tasks of one step to start on one incarnation of a worker. The scheduler does not interpret it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub String);

impl RunNumber {
    /// Returns the number of the next run; the last number has none and is returned itself, so that workers refuse the run.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl EndNumber {
    /// Returns the number of the end before; 0, which no end has, before the first.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for RunNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Display for EndNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl fmt::Display for Checkpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
