use crate::{Timestamp, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The progress of a stop, kept in the job record.
///
/// Each worker is removed from the placement once it confirms the stop. This note keeps the contents of the
/// confirmations, so that a scheduler that takes over during the stop has them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StopNote {
    /// When the stop became durable; task leases are renewed only for a short time after that.
    pub since: Timestamp,
    /// The deadline for checkpoints; no checkpoint is requested after it has passed.
    pub checkpoint_until: Timestamp,
    /// The shortest run time in milliseconds that the checkpoints of the confirmed tasks preserve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint_ms: Option<u64>,
    /// The workers whose tasks had failed on their own.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<WorkerId>,
    /// Whether no start request was ever sent, so that any remaining tasks are only prepared.
    #[serde(default)]
    pub never_started: bool,
    /// Whether a task is presumed lost because its worker never confirmed the stop.
    #[serde(default)]
    pub lost: bool,
}

impl StopNote {
    /// Creates the note of a stop that requests no checkpoint and that no worker has confirmed.
    #[must_use]
    pub fn immediate(since: Timestamp) -> Self {
        Self {
            since,
            checkpoint_until: Timestamp(0),
            checkpoint_ms: None,
            failed_on: BTreeSet::new(),
            never_started: false,
            lost: false,
        }
    }
}
