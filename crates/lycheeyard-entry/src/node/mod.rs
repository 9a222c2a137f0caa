mod error;
mod loops;
mod run;
mod shared;

pub use error::NodeError;
pub use run::EntryNode;
pub(crate) use shared::Shared;
