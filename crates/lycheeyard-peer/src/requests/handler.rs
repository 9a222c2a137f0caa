use super::{ClaimStatus, UsageReport};
use lycheeyard_protocol::Nonce;

/// Answers peers on behalf of the request path.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Takes a peer's pulse in and answers with the own one.
    fn exchange_usage(&self, pulse: UsageReport) -> UsageReport;

    /// What became of a claim of this instance.
    fn claim_status(&self, nonce: &Nonce) -> ClaimStatus;
}
