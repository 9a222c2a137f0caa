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
    /// Nothing: it runs, is about to, or has ended.
    Nothing,
    /// Not enough adjacent accelerators are free.
    Accelerators,
    /// Free accelerators are reserved for a larger job.
    Reservation,
    /// Free accelerators are kept for guarantees that this job may not borrow.
    Guarantee,
    /// Borrowers are giving its guaranteed accelerators back.
    Reclaim,
    /// It can never run as things are.
    Impossible,
}

/// Why a job waits and when it is expected to start.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobExplanation {
    /// Where the job is in its life.
    pub state: JobState,
    /// What it waits for.
    pub waits_for: WaitReason,
    /// The jobs that stand before it, as `organisation/job`, nearest first.
    pub behind: Vec<String>,
    /// The expected start, if it can be told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_start: Option<Timestamp>,
    /// The latest start if every run time that it depends on is as wrong as they usually are.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub latest_start: Option<Timestamp>,
    /// The reason in one sentence, for people.
    pub detail: String,
}
