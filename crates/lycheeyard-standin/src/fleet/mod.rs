mod base_ticket;
mod entry_api;
mod entry_fleet;
mod error;
mod links;

pub use entry_api::{EntryApi, EntryReply, endless_job};
pub use entry_fleet::EntryFleet;
pub use error::FleetError;
pub use links::FleetTraffic;
