use super::Resources;
use lycheeyard_protocol::RackId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A number of alike tasks of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says one thing of the tasks, and any may be combined"
)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each task needs.
    pub demand: Resources,
    /// A rough estimate of a task's run time, in milliseconds.
    pub expected_ms: u64,
    /// The earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub after: BTreeSet<usize>,
    /// Whether tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// Whether the tasks run only all together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks run much slower on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack of the data; tasks run much slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<RackId>,
    /// At most so many tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_limit: Option<u32>,
    /// Whether a task may run in several copies.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde asks for a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}
