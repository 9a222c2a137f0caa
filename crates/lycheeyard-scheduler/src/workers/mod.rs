mod members;
mod poller;
mod renewal;
mod schedule;
mod table;
mod views;

pub use members::DataCentreMembers;
pub use poller::WorkerPoller;
pub use renewal::{RenewalRight, rendezvous_owner, renewal_right};
pub use schedule::{CallKind, PollSchedule};
pub use table::WorkerTable;
pub use views::WorkerViews;
