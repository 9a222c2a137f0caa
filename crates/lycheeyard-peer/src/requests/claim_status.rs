use serde::{Deserialize, Serialize};
use strum::Display;

/// What an instance knows of a claim that it may have made.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimStatus {
    /// The request is being carried out.
    InProgress,
    /// The request was not sent and never will be.
    Abandoned,
    /// The request was sent; the store says or will say what came of it.
    Finished,
    /// The instance knows nothing of the claim.
    Unknown,
}
