use crate::{DataCentreId, OrganisationId, RequestsPerSecond, Shape, Slots, Weight};
use serde::{Deserialize, Serialize};

/// Adjacent accelerators of one data centre that an organisation can always reclaim.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// The data centre that holds the accelerators.
    pub data_centre: DataCentreId,
    /// The block of adjacent accelerators.
    pub shape: Shape,
}

/// The configuration of an organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub id: OrganisationId,
    /// Its share of accelerators beyond guarantees, relative to other organisations.
    pub weight: Weight,
    /// The number of its requests that may run at once in one data centre.
    pub concurrency: Slots,
    /// The rate at which its requests are accepted in one data centre.
    pub rate: RequestsPerSecond,
    /// The shapes that it can always reclaim.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// SHA-256 digests, in hexadecimal, of the keys that its callers present.
    #[serde(default)]
    pub key_digests: Vec<String>,
}
