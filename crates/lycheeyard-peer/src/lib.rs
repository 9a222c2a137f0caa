//! Calls between entry instances: heartbeats, membership, configuration relay and request sharing.

mod call;
mod codec;
mod connections;
mod counted_stream;
mod lock;
mod membership;
mod relay_choice;
mod report;
mod requests;
mod service;

pub use connections::PeerConnections;
pub use counted_stream::peer_traffic_bytes;
pub use membership::{Membership, PeerView};
pub use relay_choice::{RELAYS_PER_DATA_CENTRE, is_relay};
pub use report::{PeerReport, RunnerIncarnation};
pub use requests::{
    ClaimStatus, OrganisationUsage, RequestHandler, SlotOffer, UsageReport, exchange_usage,
    query_claim_status,
};
pub use service::{PeerError, PeerListener, serve_peers};
