use crate::{DataCentreId, EvacuationStart, JobCount};
use serde::{Deserialize, Serialize};

/// An evacuated data centre with the work that still runs there and the work that waits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationStatus {
    /// The data centre.
    pub data_centre: DataCentreId,
    /// The ticket with which its evacuation began.
    #[serde(flatten)]
    pub start: EvacuationStart,
    /// The jobs that still hold accelerators there; `None` if the store could not be read.
    pub running: Option<JobCount>,
    /// The jobs that wait for the end of the evacuation; `None` if the store could not be read.
    pub waiting: Option<JobCount>,
    /// The requests in flight at its runners, as reported by the listed instances that answer.
    pub requests_in_flight: u32,
}
