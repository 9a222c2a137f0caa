use crate::{AccessMode, OperatorKeys};
use lycheeyard_clients::{ClientLimits, ProcessLimits};
use lycheeyard_logs::{LogFilter, LogFormat};
use lycheeyard_protocol::{DataCentreId, Incarnation, InstanceId};
use std::{net::SocketAddr, time::Duration};

/// The validated settings of an entry instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Settings {
    /// The instance's name.
    pub instance: InstanceId,
    /// The incarnation: distinguishes successive processes with the same instance name.
    pub incarnation: Incarnation,
    /// The data centre that the instance is in.
    pub data_centre: DataCentreId,
    /// The address for callers and operators.
    pub listen: SocketAddr,
    /// The address for calls between entry instances.
    pub peer_listen: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// The address of the platform's instance list.
    pub instances: SocketAddr,
    /// The duration of a scheduler lease.
    pub scheduler_lease: Duration,
    /// How long a draining instance, which is not ready, still accepts connections before it closes its listener.
    pub drain: Duration,
    /// What the connections that this instance accepts may use.
    pub connections: ProcessLimits,
    /// What each client may do.
    pub client_limits: ClientLimits,
    /// Whether calls must present a key.
    pub access: AccessMode,
    /// The digests of the operators' keys.
    pub operator_keys: OperatorKeys,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// Which log lines are written.
    pub log_filter: LogFilter,
}
