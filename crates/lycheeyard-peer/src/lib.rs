//! Calls between entry instances: heartbeats and membership.

mod membership;
mod report;
mod requests;
mod service;

pub use membership::{Membership, PeerView};
pub use report::{LeavingRunner, PeerReport};
pub use requests::{
    ClaimStatus, OrganisationUsage, RequestHandler, RequestPulse, SlotOffer, ask_claim,
    exchange_pulse,
};
pub use service::{PeerError, exchange_heartbeat, serve_peers};
