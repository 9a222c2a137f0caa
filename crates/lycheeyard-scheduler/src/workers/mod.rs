mod members;
mod poller;
mod renewal;
mod reports;
mod schedule;
mod table;

pub use members::DataCentreMembers;
pub use poller::WorkerPoller;
pub use renewal::{RenewalDecision, decide_renewal, rendezvous_owner};
pub use reports::WorkerReports;
pub use schedule::{CallReasons, PollSchedule};
pub use table::WorkerTable;
