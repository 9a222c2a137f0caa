use crate::{DataCentreId, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::{Display, EnumString};

/// The role of an instance in the platform's list.
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

/// Whether an instance accepts new work.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The instance accepts new work.
    Live,
    /// The instance finishes its work and accepts no more.
    Leaving,
}

/// One entry of the platform's list of instances, which lags behind their actual state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Instance {
    /// An [`InstanceId`](crate::InstanceId), [`RunnerId`](crate::RunnerId) or [`WorkerId`](crate::WorkerId),
    /// according to the role.
    pub name: String,
    /// The instance's role.
    pub role: InstanceRole,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The service whose requests it answers, if it is a runner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// The address of its main interface.
    pub address: SocketAddr,
    /// The address for calls from peers, if it is an entry instance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    /// Distinguishes this process from earlier ones with the same name.
    pub incarnation: Incarnation,
    /// Whether it accepts new work.
    pub state: InstanceState,
}
