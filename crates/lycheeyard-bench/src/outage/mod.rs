mod report;
mod run;
mod way;

pub use report::{OutageReport, OutageRow};
pub use run::{OutageCase, measure_outages, run_outage};
pub use way::OutageWay;
