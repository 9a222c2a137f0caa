use super::StoredAnswer;
use lycheeyard_protocol::{Digest, InstanceId, Nonce, Timestamp};
use serde::{Deserialize, Serialize};
use strum::Display;

/// The claim of a non-idempotent request, kept under its organisation and key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The digest of the request, by which a key that is used again for another one is recognised.
    pub digest: Digest,
    /// Identifies this claim among later ones of the same key.
    pub nonce: Nonce,
    /// The instance that made it.
    pub claimed_by: InstanceId,
    /// When it was made, by the clock of that instance.
    pub claimed_at: Timestamp,
    /// What has come of it.
    pub state: ClaimState,
}

/// What has come of a claim.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// The claiming instance may send the request.
    Claimed,
    /// The request was not sent under this claim and never will be.
    Abandoned,
    /// The request ran and this is its whole answer.
    Answered(StoredAnswer),
    /// The request ran; its answer is too large to be kept.
    AnsweredTooLarge {
        /// The size of the answer's body, where it is known.
        bytes: Option<u64>,
    },
    /// The request was sent and may have run.
    Unknown {
        /// What is known.
        reason: String,
    },
}
