use serde::{Deserialize, Serialize};
use std::fmt;

/// Counts the starts of a task, from 1. The members of a gang share it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RunNumber(pub u32);

/// A worker's number of an end; rises within one life.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct EndNumber(pub u64);

/// A name that a worker gave to saved progress; passed on unread.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Checkpoint(pub String);

/// Lets the tasks of one step start on one life of a worker; passed on unread.
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
