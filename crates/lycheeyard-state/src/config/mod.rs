mod accepted;
mod configuration;
mod head;
mod snapshot_pointer;

pub use accepted::AcceptedTicket;
pub use configuration::Configuration;
pub use head::ConfigHead;
pub use snapshot_pointer::SnapshotPointer;
