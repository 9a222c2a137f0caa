mod checks;
mod gangs;
mod records;
mod simulated_run;
mod simulated_site;
mod worker;

pub use checks::Violation;
pub use simulated_site::{SimulatedSite, SiteFault};
pub use worker::{SimulatedWorker, WorkerFaults};
