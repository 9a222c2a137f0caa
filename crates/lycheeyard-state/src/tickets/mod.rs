mod compaction;
mod head;
mod history;
mod outcome;
mod snapshot;
mod store;

pub use outcome::TicketOutcome;
pub use store::TicketStore;
