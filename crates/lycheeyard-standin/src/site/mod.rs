mod advisor;
mod audit;
mod checks;
mod gangs;
mod machines;
mod orders;
mod records;
mod reports;
mod simulated_run;
mod simulated_site;
mod work;
mod worker;

pub use advisor::SimulatedAdvisor;
pub use checks::Violation;
pub use machines::SimulatedMachines;
pub use simulated_site::{SimulatedSite, SiteFault};
pub use worker::{SimulatedWorker, WorkerFaults};
