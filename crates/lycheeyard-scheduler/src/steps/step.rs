use lycheeyard_protocol::{JobRecord, JobState, Placement, StopNote};

/// The next step of one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobStep {
    /// Do nothing until a record or a report changes.
    Wait,
    /// Send a record change again, because the outcome of the first write is unknown.
    RetryWrite(Box<JobRecord>),
    /// Place a queued job, prepare all tasks of its gang and start them.
    Start(Placement),
    /// Start the prepared tasks of a gang whose start was interrupted.
    FinishStart,
    /// Record that all tasks of the gang run.
    MarkRunning,
    /// Store the stop in the record, then send it to the workers.
    BeginStop {
        /// The details of the stop.
        note: StopNote,
        /// A readable reason.
        reason: String,
        /// Whether the stop is a reclaim.
        reclaim: bool,
    },
    /// Continue a stop that the record already holds.
    ContinueStop,
    /// End the job.
    Finish {
        /// The final state.
        state: JobState,
        /// A readable reason.
        reason: String,
    },
}
