use lycheeyard_protocol::{
    DataCentreId, Epoch, Incarnation, InstanceId, Revision, RunnerId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// A runner that is known to leave in its present life.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LeavingRunner {
    /// The runner.
    pub runner: RunnerId,
    /// The life that ends.
    pub incarnation: Incarnation,
}

/// What an entry instance tells its peers in each heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// The instance.
    pub instance: InstanceId,
    /// Which life of the instance's name this is.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The configuration revision that is in force there.
    pub revision: Revision,
    /// The scheduler epoch that it holds, if it does.
    pub scheduler_epoch: Option<Epoch>,
    /// The runners that it knows to leave.
    pub leaving: Vec<LeavingRunner>,
    /// When the report was made, by its own clock.
    pub sent_at: Timestamp,
}
