use super::WorkerError;
use lycheeyard_protocol::platform::{
    PrepareReply, RenewRequest, StartRequest, StopRequest, TaskRequest, WorkerReport,
};
use std::{future::Future, net::SocketAddr};
use tokio::time::Instant;

/// The platform's workers, each called at its own address.
pub trait Workers: Clone + Send + Sync + 'static {
    /// Reserves accelerators for a task.
    ///
    /// # Errors
    /// Fails when no usable response arrives before `deadline`.
    fn prepare(
        &self,
        worker: SocketAddr,
        req: TaskRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<PrepareReply, WorkerError>> + Send;

    /// Starts a prepared task.
    ///
    /// # Errors
    /// Fails when no usable response arrives before `deadline`.
    fn start(
        &self,
        worker: SocketAddr,
        req: StartRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;

    /// Stops tasks.
    ///
    /// # Errors
    /// Fails when no usable response arrives before `deadline`.
    fn stop(
        &self,
        worker: SocketAddr,
        req: StopRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;

    /// Sets new lease deadlines for tasks.
    ///
    /// # Errors
    /// Fails when no usable response arrives before `deadline`.
    fn renew(
        &self,
        worker: SocketAddr,
        req: RenewRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;

    /// Returns the state of a worker's tasks.
    ///
    /// # Errors
    /// Fails when no usable response arrives before `deadline`.
    fn report(
        &self,
        worker: SocketAddr,
        deadline: Instant,
    ) -> impl Future<Output = Result<WorkerReport, WorkerError>> + Send;
}
