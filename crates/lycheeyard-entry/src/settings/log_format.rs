use strum::{Display, EnumString};

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}
