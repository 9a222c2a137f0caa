use crate::{DataCentreId, JobId, OrganisationId, Preemption, Priority, Shape};
use serde::{Deserialize, Serialize};

/// A job as its organisation submits it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The organisation that owns the job.
    pub organisation: OrganisationId,
    /// The job's name, unique in the organisation.
    pub job: JobId,
    /// The data centre that runs it.
    pub data_centre: DataCentreId,
    /// The adjacent accelerators that it needs, all at once.
    pub shape: Shape,
    /// How urgently it needs to start.
    #[serde(default)]
    pub priority: Priority,
    /// How it may be preempted.
    #[serde(default)]
    pub preemption: Preemption,
    /// Whether it runs on the organisation's guaranteed shapes.
    #[serde(default)]
    pub guaranteed: bool,
    /// The declared run time in milliseconds.
    pub run_time_ms: u64,
    /// The agreed completion deadline in milliseconds after submission, if there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u64>,
    /// Text that is passed to every task.
    #[serde(default)]
    pub payload: String,
}
