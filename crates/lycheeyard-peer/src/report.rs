use lycheeyard_protocol::{
    DataCentreId, Epoch, Incarnation, InstanceId, Revision, RunnerId, Timestamp,
};
use serde::{Deserialize, Serialize};

/// One incarnation of a runner. Reports name leaving runners in this form, because only the incarnation that announced
/// it leaves: it finishes its requests and accepts no more.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RunnerIncarnation {
    /// The runner.
    pub runner: RunnerId,
    /// The incarnation's number, which distinguishes it from earlier and later ones of the same runner name.
    pub incarnation: Incarnation,
}

/// The report that an entry instance sends to its peers in each heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerReport {
    /// The instance.
    pub instance: InstanceId,
    /// Distinguishes the sending process from earlier ones of the same instance name.
    pub incarnation: Incarnation,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The configuration revision that is in force at the instance.
    pub revision: Revision,
    /// The epoch of the scheduler lease that the instance holds, if any.
    pub scheduler_epoch: Option<Epoch>,
    /// The runners that the instance has marked as leaving.
    pub leaving: Vec<RunnerIncarnation>,
    /// The requests that the instance has in flight at runners of its data centre.
    #[serde(default)]
    pub requests_in_flight: u32,
    /// When the report was made, by the sender's clock.
    pub sent_at: Timestamp,
}
