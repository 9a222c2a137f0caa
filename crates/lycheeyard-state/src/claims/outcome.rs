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

/// A claim that the store already holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExistingClaim {
    /// The key in the store.
    pub key: String,
    /// The record.
    pub record: ClaimRecord,
    /// Its version.
    pub version: u64,
}

/// The outcome of an attempt to claim a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This instance holds the claim.
    Held(HeldClaim),
    /// The key is already claimed, by another request or an earlier attempt.
    Existing(ExistingClaim),
    /// The store did not confirm the write, which may still take effect. The request must never be sent under
    /// this claim.
    Unconfirmed,
}
