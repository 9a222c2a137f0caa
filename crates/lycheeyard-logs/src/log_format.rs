use strum::{Display, EnumString, VariantNames};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum LogFormat {
    /// One human-readable line for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}
