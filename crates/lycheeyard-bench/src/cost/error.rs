use lycheeyard_protocol::ParseError;
use lycheeyard_standin::FleetError;
use thiserror::Error;

/// The reason why the cost of the control plane could not be measured.
#[derive(Debug, Error)]
pub enum CostError {
    /// The fleet could not be started or called.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A generated name was invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// The resource usage of a process could not be read.
    #[error("cannot read the resource usage of process {0} from /proc")]
    ProcessUsage(u32),
}
