mod call_class;
mod client;
mod error;
mod traits;

pub use call_class::CallClass;
pub use client::HttpStore;
pub use error::{StoreError, WriteOutcome};
pub use traits::Store;
