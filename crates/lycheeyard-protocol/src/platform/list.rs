use crate::Instance;
use serde::{Deserialize, Serialize};

/// The platform's lagging list of instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Every known instance.
    pub instances: Vec<Instance>,
}

/// Asks for the list where it differs from the one that the caller has.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListRequest {
    /// The version of the list that the caller has, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_version: Option<u64>,
}

/// The platform's answer to a request for the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListReply {
    /// The version of the list, where the platform tells one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Every known instance, or none where the caller's version is the present one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Vec<Instance>>,
}
