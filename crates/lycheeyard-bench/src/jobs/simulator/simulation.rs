use crate::jobs::fragmentation::IdleAccelerators;
use lycheeyard_policy::Action;
use lycheeyard_protocol::Timestamp;
use std::time::Duration;

/// The history of one job in a simulation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobLog {
    /// The time of the first start.
    pub first_start: Option<Timestamp>,
    /// The time of the end.
    pub ended_at: Option<Timestamp>,
    /// Accelerator time whose result was lost, in milliseconds.
    pub wasted_ms: u64,
    /// The number of stops.
    pub stops: u32,
    /// Whether the planner retired the job because it can never be placed.
    pub retired: bool,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Simulation {
    /// The history of each job, in the order of the trace.
    pub logs: Vec<JobLog>,
    /// The times from a reclaim to the start of a guaranteed job of the claimant.
    pub reclaims: Vec<Duration>,
    /// Samples of the idle accelerators: the time of the sample and how long it applies.
    pub idle: Vec<(Timestamp, Duration, IdleAccelerators)>,
    /// The real time that each planning round took.
    pub rounds: Vec<Duration>,
    /// All actions of the planner with their times.
    pub actions: Vec<(Timestamp, Action)>,
}
