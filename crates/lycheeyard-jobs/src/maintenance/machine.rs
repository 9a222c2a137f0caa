use lycheeyard_protocol::{MachineId, WorkerId};
use strum::{Display, EnumString};

/// A machine. Workers run on it one at a time, with a new incarnation after each restart.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineInfo {
    /// The unique identifier of the machine.
    pub id: MachineId,
    /// The state of the machine.
    pub state: MachineState,
    /// The worker that runs on it now, if any.
    pub worker: Option<WorkerId>,
}

/// The state of a machine as the platform reports it.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// The machine is running.
    Up,
    /// The machine is being moved to another service.
    Moving,
    /// The machine is unavailable for maintenance.
    #[strum(serialize = "maintained")]
    InMaintenance,
    /// The machine is switched off.
    Off,
}
