mod outcome;
mod record;
mod registry;
mod store;
mod stored_answer;

pub use outcome::{ClaimOutcome, ExistingClaim, HeldClaim};
pub use record::{ClaimRecord, ClaimState};
pub use registry::{ClaimProgress, ClaimRegistry};
pub use store::ClaimStore;
pub use stored_answer::{StoredAnswer, StoredBytes, StoredHeader};
