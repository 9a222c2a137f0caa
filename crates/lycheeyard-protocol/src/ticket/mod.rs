mod digest;
mod document;
mod error;
mod object_name;
mod organisation;
mod service;

pub use digest::Digest;
pub use document::Ticket;
pub use error::TicketError;
pub use object_name::ObjectName;
pub use organisation::{Guarantee, Organisation};
pub use service::Service;
