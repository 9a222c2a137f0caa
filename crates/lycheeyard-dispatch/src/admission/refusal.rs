use strum::Display;
use thiserror::Error;

/// Why a call is refused. Nothing was done for it.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// This instance has not read a configuration yet.
    NoConfiguration,
    /// The configuration was last verified too long ago to decide by it.
    StaleConfiguration,
    /// The configuration is fresh and has no route for the host and path.
    UnknownRoute,
    /// The configuration is fresh and does not have the key, or the call carries none.
    UnknownKey,
}
