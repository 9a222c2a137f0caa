use crate::{Epoch, JobSpec, JobState, Placement, StopNote, Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The durable record of a job, kept under one key of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Where it is in its life.
    pub state: JobState,
    /// The whole placement of the gang, while it holds one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub placement: Option<Placement>,
    /// The scheduler epoch that placed it last.
    #[serde(default)]
    pub epoch: Epoch,
    /// How often it was started.
    #[serde(default)]
    pub attempts: u32,
    /// How often its tasks failed by themselves.
    #[serde(default)]
    pub failures: u32,
    /// The workers on which its tasks failed by themselves.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<WorkerId>,
    /// How the gang is being stopped, while it is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stopping: Option<StopNote>,
    /// How often its accelerators were reclaimed.
    #[serde(default)]
    pub reclaims: u32,
    /// The run time, in milliseconds, that the last checkpoint keeps.
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
    /// Whether its organisation asked for it to be cancelled.
    #[serde(default)]
    pub cancel_requested: bool,
    /// Why it is in its state, for people.
    #[serde(default)]
    pub reason: String,
}

impl JobRecord {
    /// Makes the record of a newly submitted job.
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
