use strum::{Display, EnumString, VariantNames};

/// Whether calls need a key.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessMode {
    /// Every call but the probes and the metrics needs a key that fits.
    #[default]
    Keys,
    /// No call needs a key; for closed networks and trials only.
    Open,
}
