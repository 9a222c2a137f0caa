use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// A block of adjacent accelerators: a number of workers with a number of accelerators on each.
///
/// Prints as `2x8`, meaning 2 workers with 8 accelerators each.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Shape {
    workers: u16,
    accelerators: u16,
}

impl Shape {
    /// Creates a shape of `workers` workers with `accelerators` accelerators each.
    ///
    /// # Errors
    /// Fails when either number is 0.
    pub fn new(workers: u16, accelerators: u16) -> Result<Self, ParseError> {
        if workers == 0 || accelerators == 0 {
            return Err(ParseError::Shape(format!("{workers}x{accelerators}")));
        }
        Ok(Self {
            workers,
            accelerators,
        })
    }

    /// The number of workers.
    #[must_use]
    pub fn workers(self) -> u16 {
        self.workers
    }

    /// The number of accelerators on each worker.
    #[must_use]
    pub fn accelerators(self) -> u16 {
        self.accelerators
    }

    /// The number of accelerators of the whole shape.
    #[must_use]
    pub fn total(self) -> u32 {
        u32::from(self.workers) * u32::from(self.accelerators)
    }
}

impl fmt::Display for Shape {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&format!("{}x{}", self.workers, self.accelerators))
    }
}

impl FromStr for Shape {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let err = || ParseError::Shape(text.to_owned());
        let (workers, accelerators) = text.split_once('x').ok_or_else(err)?;
        let workers = workers.parse().map_err(|_| err())?;
        let accelerators = accelerators.parse().map_err(|_| err())?;
        Self::new(workers, accelerators)
    }
}

impl TryFrom<String> for Shape {
    type Error = ParseError;

    fn try_from(text: String) -> Result<Self, ParseError> {
        text.parse()
    }
}

impl From<Shape> for String {
    fn from(shape: Shape) -> String {
        shape.to_string()
    }
}
