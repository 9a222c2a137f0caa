use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How urgently a job needs to start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Must start within seconds, on the organisation's guaranteed accelerators.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that runs when accelerators are spare.
    Background,
}

/// How the scheduler may preempt a running job.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Preemption {
    /// Request a checkpoint, then stop the job; it resumes from the checkpoint later.
    #[default]
    Checkpoint,
    /// Stop the job at once; it starts again from the beginning.
    Stop,
    /// Never stop the job; it may not run on borrowed accelerators.
    Never,
}
