use crate::{RackId, Worker};
use serde::{Deserialize, Serialize};

/// A rack; its workers are adjacent in the order of the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rack {
    /// The rack's name.
    pub id: RackId,
    /// The workers in their fixed order.
    pub workers: Vec<Worker>,
}
