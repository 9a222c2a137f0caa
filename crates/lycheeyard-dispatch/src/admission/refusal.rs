use strum::Display;
use thiserror::Error;

/// Why a call is refused before anything is done for it.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// This instance has not read a configuration yet.
    NoConfiguration,
    /// This instance cannot tell whether its configuration is still the newest.
    StaleConfiguration,
    /// The newest configuration has no such queue.
    UnknownRoute,
    /// The newest configuration has no such key.
    UnknownKey,
}
