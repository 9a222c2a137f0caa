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
    /// Durable jobs that the scheduler has already read keep being started.
    #[serde(rename = "go-on")]
    #[strum(serialize = "go-on")]
    KeepStarting,
}
