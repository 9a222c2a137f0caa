mod outcome;
mod store;

pub use outcome::TicketOutcome;
pub use store::TicketStore;
