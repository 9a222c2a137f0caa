use lycheeyard_entry::{NodeError, SettingsError};
use lycheeyard_protocol::ParseError;
use lycheeyard_standin::StandinError;
use thiserror::Error;

/// Why a fleet could not be measured.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// An instance did not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// Generated settings are refused.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A generated name is invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// A call to an instance failed.
    #[error("a call to an instance failed: {0}")]
    Call(String),
    /// Something did not happen in time.
    #[error("{0} did not happen in time")]
    Late(&'static str),
}
