use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What became of a request.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and this is its whole answer.
    Done,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; the system cannot tell.
    Unknown,
}
