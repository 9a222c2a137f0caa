use lycheeyard_protocol::ParseError;
use lycheeyard_standin::FleetError;
use thiserror::Error;

/// Why the cost of control could not be measured.
#[derive(Debug, Error)]
pub enum CostError {
    /// The fleet could not be driven.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A generated name was invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// The system does not tell what a process uses.
    #[error("the use of process {0} cannot be read from /proc")]
    ProcessUse(u32),
}
