mod filter;
mod log;
mod trail;

pub use filter::AuditFilter;
pub use log::AuditLog;
pub use trail::AuditTrail;
