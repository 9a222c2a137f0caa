//! The other instances, and queries that they answer for this one.

mod ask;
mod directory;
mod registration;

pub use ask::{PeerCalls, PeerReply, ask_peers};
pub use directory::PeerDirectory;
pub use registration::{PeerRegistration, keep_registered};
