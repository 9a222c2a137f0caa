mod configuration;
mod head;

pub use configuration::Configuration;
pub use head::{AcceptedTicket, ConfigHead};
