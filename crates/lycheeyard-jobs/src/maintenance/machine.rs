use lycheeyard_protocol::{MachineId, WorkerId};
use strum::{Display, EnumString};

/// A machine that workers run on, one life of a worker after the other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineInfo {
    /// Names the machine.
    pub id: MachineId,
    /// Whether it is there.
    pub state: MachineState,
    /// The worker that runs on it now.
    pub worker: Option<WorkerId>,
}

/// Whether a machine is there.
#[derive(Clone, Copy, Debug, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum MachineState {
    /// It runs.
    Up,
    /// It is on its way to another service.
    Moving,
    /// It is away for maintenance.
    #[strum(serialize = "maintained")]
    InMaintenance,
    /// It is off.
    Off,
}
