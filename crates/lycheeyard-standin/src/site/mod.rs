mod checks;
mod gangs;
mod records;
mod simulated_run;
mod site;
mod worker;

pub use checks::Violation;
pub use site::{SimulatedSite, SiteFault};
pub use worker::{SimulatedWorker, WorkerFaults};
