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
    /// How soon it wants to start.
    #[serde(default)]
    pub priority: Priority,
    /// What may be done to it when its accelerators are wanted back.
    #[serde(default)]
    pub preemption: Preemption,
    /// Whether it runs inside the organisation's guaranteed shapes.
    #[serde(default)]
    pub guaranteed: bool,
    /// The declared run time in milliseconds.
    pub run_time_ms: u64,
    /// The agreed end in milliseconds after submission, where there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u64>,
    /// Text handed to every task.
    #[serde(default)]
    pub payload: String,
}
