use lycheeyard_entry::{NodeError, SettingsError};
use lycheeyard_protocol::ParseError;
use lycheeyard_standin::StandinError;
use thiserror::Error;

/// The reason why a fleet could not be started or measured.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A stand-in did not start.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// An instance did not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// Generated settings were rejected.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A generated name was invalid.
    #[error(transparent)]
    Name(#[from] ParseError),
    /// A call to an instance failed.
    #[error("a call to an instance failed: {0}")]
    Call(String),
    /// A condition was not met in time.
    #[error("timed out waiting for {0}")]
    TimedOut(&'static str),
}
