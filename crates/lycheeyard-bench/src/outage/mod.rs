mod policy;
mod report;
mod run;

pub use policy::OutagePolicy;
pub use report::{OutageReport, OutageRow};
pub use run::{OutageCase, measure_outages, run_outage};
