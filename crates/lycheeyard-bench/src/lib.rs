//! Load generator and policy experiments, for development only.

mod load;
mod outage;

pub use load::{
    Arrival, Arrivals, FaultEvent, LoadDocument, LoadError, LoadMode, LoadReport,
    OrganisationShare, Progress, Target, plot_report, run_load,
};
pub use outage::{OutageCase, OutageReport, OutageRow, OutageWay, measure_outages, run_outage};
