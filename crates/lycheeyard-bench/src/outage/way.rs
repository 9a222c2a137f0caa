use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString};

/// What a scheduler does while the store is out of reach.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, EnumString, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum OutageWay {
    /// Running work goes on and nothing new starts.
    StartNothing,
    /// Durable jobs that are known go on being started.
    GoOn,
}
