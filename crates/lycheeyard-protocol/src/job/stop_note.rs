use crate::{Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a job record keeps of a stop that is under way.
///
/// Workers that have confirmed leave the placement one by one, so that a successor of the scheduler
/// finds here what they had said.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopNote {
    /// When the stop became durable; no task lease is renewed for long after that.
    pub since: Timestamp,
    /// Until when a checkpoint is waited for; none is asked for when this has passed.
    pub checkpoint_until: Timestamp,
    /// The least run time in milliseconds that the confirmed tasks' checkpoints keep.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_ms: Option<u64>,
    /// The workers whose tasks had failed by themselves.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<WorkerId>,
    /// Whether no task was ever told to start, so that only prepared ones can be left.
    #[serde(default)]
    pub never_started: bool,
    /// Whether a task was lost without a confirmation from its worker.
    #[serde(default)]
    pub lost: bool,
}
