use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// How soon a job wants to start.
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
    /// Must start within seconds, inside the organisation's guarantee.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that waits for spare accelerators.
    Background,
}

/// What the scheduler may do to a running job to get its accelerators back.
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
    /// Ask for a checkpoint, then stop it; it continues from there later.
    #[default]
    Checkpoint,
    /// Stop it at once; it starts again from the beginning.
    Stop,
    /// Leave it alone; it may not run on borrowed accelerators.
    Never,
}
