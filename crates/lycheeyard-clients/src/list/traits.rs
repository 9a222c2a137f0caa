use crate::CallError;
use lycheeyard_protocol::platform::InstanceList;
use std::future::Future;
use tokio::time::Instant;

/// The platform's list of live and leaving instances, which lags behind their real state.
pub trait InstanceDirectory: Clone + Send + Sync + 'static {
    /// Returns the list.
    ///
    /// # Errors
    /// Fails when no response arrives before `deadline`.
    fn list(
        &self,
        deadline: Instant,
    ) -> impl Future<Output = Result<InstanceList, CallError>> + Send;
}
