//! Load generator and policy experiments, for development only.

mod load;
/// Experiments on the request path in virtual time.
pub mod requests;

pub use load::{
    Arrival, Arrivals, FaultEvent, LoadDocument, LoadError, LoadMode, LoadReport,
    OrganisationShare, Progress, Target, plot_report, run_load,
};
