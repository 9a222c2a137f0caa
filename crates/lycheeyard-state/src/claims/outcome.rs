use super::ClaimRecord;

/// A claim that this instance holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldClaim {
    /// The key in the store.
    pub key: String,
    /// The record as written.
    pub record: ClaimRecord,
    /// Its version.
    pub version: u64,
}

/// A claim that was made before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExistingClaim {
    /// The key in the store.
    pub key: String,
    /// The record.
    pub record: ClaimRecord,
    /// Its version.
    pub version: u64,
}

/// What an attempt to claim came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This instance holds the claim.
    Held(HeldClaim),
    /// There is a claim of another request or an earlier attempt.
    Existing(ExistingClaim),
    /// The claim may yet appear; it must never be acted on.
    Unresolved,
}
