mod error;
mod evacuations;
mod follow_config;
mod heartbeats;
mod periodic;
mod run;
mod shared;

pub use error::NodeError;
pub(crate) use follow_config::pull_from_store;
pub(crate) use heartbeats::poll_silent_peers;
pub use run::EntryNode;
pub(crate) use shared::Shared;
