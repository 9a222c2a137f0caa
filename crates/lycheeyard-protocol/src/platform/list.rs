use crate::Instance;
use serde::{Deserialize, Serialize};

/// The platform's lagging list of instances.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceList {
    /// Every known instance.
    pub instances: Vec<Instance>,
}
