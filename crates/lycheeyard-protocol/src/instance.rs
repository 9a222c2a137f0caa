use crate::{DataCentreId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// What an instance in the platform's list does.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceRole {
    /// An entry instance of this system.
    Entry,
    /// A runner that answers requests.
    Runner,
    /// A worker that runs tasks.
    Worker,
}

/// Whether an instance stays or is about to go.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The instance takes new work.
    Live,
    /// The instance finishes what it has and takes no new work.
    Leaving,
}

/// One line of the platform's lagging list of instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// The instance's name: an instance, runner or worker id according to its role.
    pub name: String,
    /// What the instance does.
    pub role: InstanceRole,
    /// The data centre that it is in.
    pub data_centre: DataCentreId,
    /// The service it answers for, when it is a runner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The address that serves its main interface.
    pub address: SocketAddr,
    /// The address for calls between entry instances, when it is an entry instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Which life of the name this is.
    pub incarnation: Incarnation,
    /// Whether it stays.
    pub state: InstanceState,
}
