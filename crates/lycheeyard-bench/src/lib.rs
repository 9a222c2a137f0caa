//! Load generator and policy experiments, for development only.

mod control;
mod cost;
pub mod jobs;
mod load;
mod outage;
pub mod plans;
/// Experiments with the request path: slot sharing, overload and the choice of an upstream.
pub mod requests;

pub use control::{
    ControlError, ControlFigures, ControlFleet, FleetMember, FleetSize, large_ticket,
    measure_control, organisation_ticket, put_ticket,
};
pub use cost::{CostError, CostFigures, CostPoint, measure_cost};
pub use load::{
    Arrival, Arrivals, FaultEvent, LoadDocument, LoadError, LoadMode, LoadReport,
    OrganisationShare, Progress, Target, plot_report, run_load,
};
pub use outage::{OutageCase, OutagePolicy, OutageReport, OutageRow, measure_outages, run_outage};
