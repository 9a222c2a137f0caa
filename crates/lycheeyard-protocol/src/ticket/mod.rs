mod digest;
mod document;
mod error;
mod evacuation;
mod evacuation_start;
mod object_name;
mod organisation;
mod service;

pub use digest::Digest;
pub use document::Ticket;
pub use error::TicketError;
pub use evacuation::Evacuation;
pub use evacuation_start::EvacuationStart;
pub use object_name::ObjectName;
pub use organisation::{Guarantee, Organisation};
pub use service::Service;
