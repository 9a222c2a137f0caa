use thiserror::Error;

/// Why the daemon exited with an error. The details are in the sources of the error report.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DaemonError {
    /// The settings are invalid.
    #[error("the settings are invalid")]
    Settings,
    /// The async runtime could not be started.
    #[error("the runtime cannot be started")]
    Runtime,
    /// The instance could not be started, for example because an address is in use.
    #[error("the instance cannot be started")]
    Start,
}

impl DaemonError {
    /// The process exit code: 2 for invalid settings, 1 for any other failure.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Runtime | Self::Start => 1,
            Self::Settings => 2,
        }
    }
}
