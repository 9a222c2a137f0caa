use strum::{Display, EnumString, VariantNames};

/// Whether calls must present a key.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessMode {
    /// Every call except the probes and the metrics needs a valid key.
    #[default]
    Keys,
    /// No call needs a key, and every caller is an operator. For isolated networks and tests only.
    Open,
}
