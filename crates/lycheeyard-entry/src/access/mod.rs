mod authorise;
mod caller;
mod keys;
mod mode;
mod required_access;

pub(crate) use authorise::authorise;
pub(crate) use caller::Caller;
pub use keys::OperatorKeys;
pub(crate) use keys::{PresentedKey, matches_any};
pub use mode::AccessMode;
pub(crate) use required_access::RequiredAccess;
