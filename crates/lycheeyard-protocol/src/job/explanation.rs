use crate::{JobState, Timestamp};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// What a job waits for.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WaitReason {
    /// Nothing: the job runs, is about to start, or has ended.
    Nothing,
    /// Not enough adjacent accelerators are free.
    Accelerators,
    /// Free accelerators are reserved for a larger job.
    Reservation,
    /// Free accelerators are kept for guarantees from which this job may not borrow.
    Guarantee,
    /// The job's guaranteed accelerators are being reclaimed from borrowing jobs.
    Reclaim,
    /// The evacuation of the job's data centre is to end.
    Evacuation,
    /// The job can never run under the present conditions.
    Impossible,
}

/// Why a job waits and when it is expected to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobExplanation {
    /// The job's state.
    pub state: JobState,
    /// What it waits for.
    pub waits_for: WaitReason,
    /// The jobs ahead of it in the queue, as `organisation/job`, nearest first.
    pub behind: Vec<String>,
    /// The expected start, if it can be estimated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_start: Option<Timestamp>,
    /// A later estimate of the start, which allows for the usual error of the run times that it depends on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest_start: Option<Timestamp>,
    /// The reason in one sentence, for people to read.
    pub detail: String,
}
