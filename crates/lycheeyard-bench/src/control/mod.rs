mod error;
mod fleet;
mod measure;
mod member;
mod operator;
mod sizes;

pub use error::ControlError;
pub use fleet::ControlFleet;
pub use measure::{ControlFigures, measure_control};
pub use member::FleetMember;
pub use operator::put_ticket;
pub use sizes::{FleetSize, large_ticket, organisation_ticket};
