use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// The behaviour of a scheduler while the store is unreachable.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutagePolicy {
    /// Running jobs continue and no job starts.
    StartNothing,
    /// The scheduler continues to start durable jobs that it has already read.
    #[serde(rename = "go-on")]
    #[strum(serialize = "go-on")]
    KeepStarting,
}
