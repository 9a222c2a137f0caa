mod calls;
mod claim_status;
mod handler;
mod pulse;

pub use calls::{ask_claim, exchange_pulse};
pub use claim_status::ClaimStatus;
pub use handler::RequestHandler;
pub use pulse::{OrganisationUsage, RequestPulse, SlotOffer};
