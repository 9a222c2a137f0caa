use crate::CallError;
use lycheeyard_protocol::platform::InstanceList;
use std::future::Future;
use tokio::time::Instant;

/// The platform's lagging list of live and leaving instances.
pub trait InstanceDirectory: Clone + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails when no answer comes before `deadline`.
    fn list(
        &self,
        deadline: Instant,
    ) -> impl Future<Output = Result<InstanceList, CallError>> + Send;
}
