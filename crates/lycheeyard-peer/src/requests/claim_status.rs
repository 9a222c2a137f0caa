use serde::{Deserialize, Serialize};
use strum::Display;

/// The status of a claim, as reported by the instance that made it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimStatus {
    /// The request is being claimed or executed.
    InProgress,
    /// The request was not sent and never will be.
    Abandoned,
    /// The request was sent; the store has its result or will have it.
    Finished,
    /// The instance has no entry for the claim.
    Unknown,
}
