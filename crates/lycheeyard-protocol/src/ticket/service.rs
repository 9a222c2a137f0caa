use crate::{OrganisationId, ServiceId, Slots};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The configuration of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name.
    pub id: ServiceId,
    /// The organisations that may call it; an empty set admits all.
    #[serde(default)]
    pub organisations: BTreeSet<OrganisationId>,
    /// The number of requests that each of its runners handles at once.
    pub runner_slots: Slots,
    /// The number of connections that each of its runners accepts.
    pub runner_connections: Slots,
}
