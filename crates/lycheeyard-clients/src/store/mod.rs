mod breaker;
mod call_class;
mod client;
mod error;
mod guard;
mod resolve;
mod resolved_write;
mod token_bucket;
mod traits;

pub use call_class::CallClass;
pub use client::HttpStore;
pub use error::{StoreError, WriteOutcome};
pub use resolved_write::ResolvedWrite;
pub use traits::Store;
