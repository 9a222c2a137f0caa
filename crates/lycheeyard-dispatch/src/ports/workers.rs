use super::WorkerCallError;
use lycheeyard_jobs::{
    EndNumber, EndReport, RunReport, StartOrder, StopOrder, ThrottleOrder, WorkerInfo,
};
use lycheeyard_protocol::{Epoch, Incarnation};
use std::{future::Future, time::Duration};
use tokio::time::Instant;

/// Milliseconds on a worker's own steady clock.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerClock(pub u64);

/// Asks a worker for its runs and ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportRequest {
    /// The scheduling term.
    pub epoch: Epoch,
    /// The ends up to this one may be forgotten.
    pub acknowledge: EndNumber,
    /// Until when everything on the worker may go on.
    pub lease_until: Option<WorkerClock>,
    /// How long the worker waits for an end before it answers.
    pub wait: Duration,
}

/// What a worker answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReportAnswer {
    /// The life that answered, if the worker said so.
    pub incarnation: Option<Incarnation>,
    /// The worker's clock at the answer.
    pub clock: WorkerClock,
    /// What runs.
    pub running: Vec<RunReport>,
    /// The ends that have not been acknowledged.
    pub ended: Vec<EndReport>,
    /// Whether there may be more ends than were listed.
    pub is_partial: bool,
}

/// A worker's answer to an order to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The run is there.
    Present,
    /// There is no room.
    NoRoom,
    /// The ticket is missing or not in force.
    NoTicket,
    /// This run or a later one has ended there.
    Superseded,
    /// The order came after its deadline.
    Late,
    /// The order itself is at fault.
    Invalid,
}

/// The workers, each called at its own address.
pub trait WorkerCalls: Clone + Send + Sync + 'static {
    /// Starts a run; an order that was carried out before is confirmed again.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn start(
        &self,
        order: &StartOrder,
        epoch: Epoch,
        until: WorkerClock,
        deadline: Instant,
    ) -> impl Future<Output = Result<StartReply, WorkerCallError>> + Send;

    /// Stops a run, or keeps it from starting later.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn stop(
        &self,
        order: &StopOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), WorkerCallError>> + Send;

    /// Sets the share of its speed at which a run works.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn throttle(
        &self,
        order: &ThrottleOrder,
        epoch: Epoch,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), WorkerCallError>> + Send;

    /// Extends leases, acknowledges ends and asks for a report.
    ///
    /// # Errors
    /// Fails when there is no usable answer.
    fn report(
        &self,
        worker: &WorkerInfo,
        req: ReportRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<ReportAnswer, WorkerCallError>> + Send;
}
