use crate::{OrganisationId, ServiceId, Slots};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A service's whole configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub id: ServiceId,
    /// The organisations that may call it; none listed means all.
    #[serde(default)]
    pub organisations: BTreeSet<OrganisationId>,
    /// The number of requests that one of its runners takes at once.
    pub runner_slots: Slots,
    /// The number of connections that one of its runners accepts.
    pub runner_connections: Slots,
}
