mod calls;
mod claim_status;
mod handler;
mod usage_report;

pub use calls::{exchange_usage, query_claim_status};
pub use claim_status::ClaimStatus;
pub use handler::RequestHandler;
pub use usage_report::{OrganisationUsage, SlotOffer, UsageReport};
