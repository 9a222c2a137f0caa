mod arrivals;
mod client;
mod document;
mod error;
mod faults;
mod plot;
mod recorder;
mod report;
mod run;
mod target;

pub use arrivals::{Arrival, Arrivals};
pub use document::{FaultEvent, LoadDocument, LoadMode, OrganisationShare};
pub use error::LoadError;
pub use plot::plot_report;
pub use report::{LoadReport, OrganisationReport, SecondReport};
pub use run::{Progress, run_load};
pub use target::Target;
