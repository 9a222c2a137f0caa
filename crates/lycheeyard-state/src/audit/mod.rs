mod trail;

pub use trail::AuditTrail;
