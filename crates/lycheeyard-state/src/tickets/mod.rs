mod compaction;
mod head;
mod history;
mod outcome;
mod snapshot;
mod store;
mod swap;

pub use outcome::TicketOutcome;
pub use store::TicketStore;
