use serde::{Deserialize, Serialize};

/// A number of jobs and the names of the first of them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobCount {
    /// The number of jobs.
    pub count: u64,
    /// The first jobs, as `organisation/job`.
    pub first: Vec<String>,
}
