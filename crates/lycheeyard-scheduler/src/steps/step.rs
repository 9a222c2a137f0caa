use lycheeyard_protocol::{JobRecord, JobState, Placement, StopNote};

/// The next thing to do for one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobStep {
    /// Nothing, until something changes.
    Wait,
    /// Sends a change again whose outcome is unknown.
    Resolve(Box<JobRecord>),
    /// Starts a whole gang.
    Start(Placement),
    /// Starts the prepared tasks of a gang whose start was cut short.
    FinishStart,
    /// Takes a gang over whose tasks all run.
    MarkRunning,
    /// Makes a stop durable and then carries it out.
    BeginStop {
        /// How.
        note: StopNote,
        /// Why, for people.
        reason: String,
        /// Whether this is a reclaim.
        reclaim: bool,
    },
    /// Carries a durable stop on.
    ContinueStop,
    /// Ends a job.
    Finish {
        /// The final state.
        state: JobState,
        /// Why, for people.
        reason: String,
    },
}
