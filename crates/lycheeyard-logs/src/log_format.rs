use strum::{Display, EnumString, VariantNames};

/// The form of log lines.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}
