mod book;
mod record;
mod step;
mod store;
mod stored_answer;

pub use book::{ClaimBook, ClaimProgress};
pub use record::{ClaimRecord, ClaimState};
pub use step::{ClaimStep, HeldClaim, PresentClaim};
pub use store::ClaimStore;
pub use stored_answer::{StoredAnswer, StoredBody, StoredHeader};
