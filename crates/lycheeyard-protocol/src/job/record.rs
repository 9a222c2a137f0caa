use crate::{Epoch, JobSpec, JobState, Placement, StopNote, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The durable record of a job, kept under one key of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// The job's state.
    pub state: JobState,
    /// The placement of the whole gang, while it holds accelerators.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// The scheduler epoch that placed it last.
    #[serde(default)]
    pub epoch: Epoch,
    /// The number of times that it was started.
    #[serde(default)]
    pub attempts: u32,
    /// The number of times that its tasks failed on their own.
    #[serde(default)]
    pub failures: u32,
    /// The workers on which its tasks failed on their own.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<WorkerId>,
    /// The progress of a stop, while the gang is being stopped.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stopping: Option<StopNote>,
    /// The number of times that its accelerators were reclaimed.
    #[serde(default)]
    pub reclaims: u32,
    /// The run time, in milliseconds, that the last checkpoint preserves.
    #[serde(default)]
    pub checkpoint_ms: u64,
    /// When it was submitted.
    pub submitted_at: Timestamp,
    /// When it last started to run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_at: Option<Timestamp>,
    /// When it reached a final state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at: Option<Timestamp>,
    /// Whether its organisation requested its cancellation.
    #[serde(default)]
    pub cancel_requested: bool,
    /// The reason for its state, for people to read.
    #[serde(default)]
    pub reason: String,
}

impl JobRecord {
    /// Creates the record of a newly submitted job.
    #[must_use]
    pub fn submitted(spec: JobSpec, now: Timestamp) -> Self {
        Self {
            spec,
            state: JobState::Queued,
            placement: None,
            epoch: Epoch(0),
            attempts: 0,
            failures: 0,
            failed_on: BTreeSet::new(),
            stopping: None,
            reclaims: 0,
            checkpoint_ms: 0,
            submitted_at: now,
            started_at: None,
            ended_at: None,
            cancel_requested: false,
            reason: String::new(),
        }
    }
}
