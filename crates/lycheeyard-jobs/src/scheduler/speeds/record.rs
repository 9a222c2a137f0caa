use lycheeyard_protocol::{Incarnation, QueueId, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The stored estimates, with which a successor places runs as its predecessor did.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SpeedRecord {
    /// The natural logarithm of the odds of [`Regime::Steady`](super::Regime::Steady), in thousandths.
    #[serde(default, rename = "steady")]
    pub steady_milli: i64,
    /// The pace of each queue.
    #[serde(default)]
    pub queues: BTreeMap<QueueId, QueuePaceRecord>,
    /// The lasting part of the speed of each listed worker of which something is known.
    #[serde(default)]
    pub workers: BTreeMap<WorkerId, WorkerSpeedRecord>,
}

/// The stored pace of a queue. Logarithms are natural, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QueuePaceRecord {
    /// The mean logarithm of the ratio of run time to estimate.
    #[serde(rename = "m")]
    pub mean_milli: i64,
    /// The variance of that logarithm.
    #[serde(rename = "v")]
    pub variance_milli: i64,
    /// The part of the variance that is among tasks of one step.
    #[serde(rename = "w")]
    pub within_milli: i64,
    /// The number of steps that were observed, in thousandths.
    #[serde(rename = "n")]
    pub steps_milli: i64,
}

/// The stored speed of a worker. Logarithms are natural, in thousandths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerSpeedRecord(
    /// The incarnation that was observed last.
    pub Incarnation,
    /// The mean of the lasting part.
    pub i64,
    /// The variance of the lasting part, in ten-thousandths.
    pub i64,
);
