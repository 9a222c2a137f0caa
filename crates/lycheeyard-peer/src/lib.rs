//! Calls between entry instances: heartbeats and membership.

mod membership;
mod report;
mod service;

pub use membership::{Membership, PeerView};
pub use report::{LeavingRunner, PeerReport};
pub use service::{PeerError, exchange_heartbeat, serve_peers};
