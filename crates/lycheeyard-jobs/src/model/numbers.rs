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
