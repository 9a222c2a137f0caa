use thiserror::Error;

/// Why the daemon's settings are invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The command line could not be parsed.
    #[error("{0}; see --help")]
    CommandLine(String),
    /// A required setting is missing.
    #[error("--{flag} (or {variable}) is required")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
    },
    /// The access mode is `keys`, but there is no operator key.
    #[error(
        "--{flag} (or {variable}) is required with --access keys, or no operator could change \
         anything; give the SHA-256 digest of a key"
    )]
    NoOperatorKey {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
    },
    /// The value of a setting is invalid.
    #[error("--{flag} (or {variable}) is `{value}`, which is not valid: {reason}")]
    Invalid {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
        /// The rejected value.
        value: String,
        /// Why the value is rejected, or which values are valid.
        reason: String,
    },
}
