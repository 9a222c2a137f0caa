//! Load generator and policy experiments, for development only.

pub mod jobs;
mod load;

pub use load::{
    Arrival, Arrivals, FaultEvent, LoadDocument, LoadError, LoadMode, LoadReport,
    OrganisationShare, Progress, Target, plot_report, run_load,
};
