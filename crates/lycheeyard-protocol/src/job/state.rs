use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The state of a job, from submission to its end.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum JobState {
    /// Waits for accelerators.
    Queued,
    /// Has its accelerators; the tasks are being prepared and started.
    Starting,
    /// All tasks run.
    Running,
    /// Has been ordered to release its accelerators; not all tasks have confirmed the stop.
    Stopping,
    /// Ended successfully.
    Succeeded,
    /// Failed too often or can never run.
    Failed,
    /// Cancelled by its organisation.
    Cancelled,
}

impl JobState {
    /// Whether the job holds accelerators in this state.
    #[must_use]
    pub fn holds_accelerators(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Stopping)
    }

    /// Whether the job never leaves this state.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Succeeded | Self::Failed | Self::Cancelled)
    }
}
