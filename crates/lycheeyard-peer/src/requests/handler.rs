use super::{ClaimStatus, UsageReport};
use lycheeyard_protocol::Nonce;

/// Answers peers on behalf of the request path.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Records a peer's usage report and returns this instance's report.
    fn exchange_usage(&self, report: UsageReport) -> UsageReport;

    /// The status of a claim that this instance made.
    fn claim_status(&self, nonce: &Nonce) -> ClaimStatus;
}
