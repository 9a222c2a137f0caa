use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Whether a request ran, as far as the system can determine.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and the answer is complete.
    Done,
    /// The request did not run and never will.
    NotRun,
    /// The request may have run; the system cannot determine it.
    Unknown,
}
