use crate::Instance;
use serde::{Deserialize, Serialize};

/// The platform's list of instances, which lags behind their actual state.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Every known instance.
    pub instances: Vec<Instance>,
}

/// Requests the list if it differs from the caller's copy.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListRequest {
    /// The version of the caller's copy, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub known_version: Option<u64>,
}

/// The platform's answer to a request for the list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListReply {
    /// The version of the list, if the platform reports one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<u64>,
    /// Every known instance; `None` if the caller's version is current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instances: Option<Vec<Instance>>,
}
