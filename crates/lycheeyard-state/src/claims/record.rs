use super::StoredAnswer;
use lycheeyard_protocol::{Digest, InstanceId, Nonce, Timestamp};
use serde::{Deserialize, Serialize};
use strum::Display;

/// The claim of a non-idempotent request, stored under its organisation and idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRecord {
    /// The digest of the request, by which reuse of the key for another request is detected.
    pub digest: Digest,
    /// Identifies this claim among later ones of the same key.
    pub nonce: Nonce,
    /// The instance that made it.
    pub claimed_by: InstanceId,
    /// When it was made, by that instance's clock.
    pub claimed_at: Timestamp,
    /// The state of the claim.
    pub state: ClaimState,
}

/// The state of a claim.
#[derive(Clone, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// The claiming instance may send the request.
    Claimed,
    /// The request was not sent under this claim and never will be.
    Abandoned,
    /// The request ran, and this is its complete answer.
    Answered(StoredAnswer),
    /// The request ran; its answer is too large to be stored.
    AnsweredTooLarge {
        /// The size of the answer's body, if it is known.
        bytes: Option<u64>,
    },
    /// The request was sent and may have run.
    Unknown {
        /// The reason why the outcome is unknown, for people to read.
        reason: String,
    },
}
