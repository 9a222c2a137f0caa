use super::WorkerCallError;
use lycheeyard_jobs::{
    EndNumber, EndReport, RunReport, StartOrder, StopOrder, ThrottleOrder, WorkerInfo,
};
use lycheeyard_protocol::{Epoch, Incarnation};
use std::{future::Future, time::Duration};
use tokio::time::Instant;

/// A time in milliseconds on a worker's monotonic clock.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerClock(pub u64);

/// A request for a worker's runs and run ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportRequest {
    /// The scheduling term.
    pub epoch: Epoch,
    /// Ends up to this number are durable; the worker may discard them.
    pub acknowledge: EndNumber,
    /// Extends the lease of all runs on the worker until this time on its clock; `None` extends nothing.
    pub lease_until: Option<WorkerClock>,
    /// How long the worker may hold the request until a run ends.
    pub wait: Duration,
}

/// A worker's answer to a report request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportAnswer {
    /// The incarnation that answered, if the worker stated it. Nothing follows from an answer without it.
    pub incarnation: Option<Incarnation>,
    /// The worker's clock at the time of the answer.
    pub clock: WorkerClock,
    /// The runs in progress.
    pub running: Vec<RunReport>,
    /// The run ends that are not acknowledged yet.
    pub ended: Vec<EndReport>,
    /// Whether there may be more ends than listed here, or runs and ends whose rows could not be read.
    pub is_partial: bool,
}

/// A worker's answer to a start order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run is present on the worker.
    Present,
    /// The worker's free resources do not suffice.
    NoRoom,
    /// The ticket is missing or not valid.
    NoTicket,
    /// This run or a later one of the task has already ended on the worker.
    Superseded,
    /// The order arrived after its deadline.
    Late,
    /// The order is malformed.
    Invalid,
}

/// A worker's answer to a start order, and its clock at that time, if the worker stated it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StartResponse {
    /// What the worker has done.
    pub reply: StartReply,
    /// The worker's clock.
    pub clock: Option<WorkerClock>,
}

/// A client for workers; each call goes to the address of one worker.
pub trait WorkerCalls: Clone + Send + Sync + 'static {
    /// Starts a run, with a lease until `until` on the worker's clock. Idempotent: a repeated order is confirmed again.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        deadline: Instant,
    ) -> impl Future<Output = Result<StartResponse, WorkerCallError>> + Send;

    /// Stops a run, or prevents a delayed start order from starting it.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn stop(
        &self,
        order: &StopOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), WorkerCallError>> + Send;

    /// Sets the CPU share of a run, in percent of full speed.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn throttle(
        &self,
        order: &ThrottleOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), WorkerCallError>> + Send;

    /// Extends leases, acknowledges ends and requests a report.
    ///
    /// # Errors
    /// Returns an error if there is no usable answer.
    fn report(
        &self,
        worker: &WorkerInfo,
        req: ReportRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<ReportAnswer, WorkerCallError>> + Send;
}
