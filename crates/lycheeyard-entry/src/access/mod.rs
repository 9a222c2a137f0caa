mod authorise;
mod caller;
mod keys;
mod mode;
mod need;

pub(crate) use authorise::authorise;
pub(crate) use caller::Caller;
pub use keys::OperatorKeys;
pub(crate) use keys::{PresentedKey, fits};
pub use mode::AccessMode;
pub(crate) use need::Need;
