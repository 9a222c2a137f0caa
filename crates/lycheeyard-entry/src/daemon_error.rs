use thiserror::Error;

/// Why the daemon ended by itself; the report's sources tell the details.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DaemonError {
    /// The settings are wrong.
    #[error("the settings are refused")]
    Settings,
    /// The runtime did not start.
    #[error("the runtime cannot be started")]
    Runtime,
    /// The instance did not start.
    #[error("the instance cannot be started")]
    Start,
}

impl DaemonError {
    /// The exit code that tells scripts the kind of failure.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Runtime | Self::Start => 1,
            Self::Settings => 2,
        }
    }
}
