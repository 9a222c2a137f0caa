use thiserror::Error;

/// Why the daemon's settings are refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum SettingsError {
    /// The command line could not be read.
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
    /// Keys are asked for, but no operator has one.
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
    /// A setting has an impossible value.
    #[error("--{flag} (or {variable}) is `{value}`, which is not valid: {reason}")]
    Invalid {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        variable: String,
        /// The rejected value.
        value: String,
        /// What would be valid.
        reason: String,
    },
}
