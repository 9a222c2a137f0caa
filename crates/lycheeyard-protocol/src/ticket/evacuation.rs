use crate::DataCentreId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The evacuated data centres: they get no new work until a later ticket leaves them out.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Every data centre that is evacuated; an empty set ends all evacuations.
    pub data_centres: BTreeSet<DataCentreId>,
}
