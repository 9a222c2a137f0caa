mod accepted;
mod configuration;
mod follower;
mod head;
mod snapshot_pointer;
mod update;

pub use accepted::AcceptedTicket;
pub use configuration::Configuration;
pub use follower::ConfigFollower;
pub use head::ConfigHead;
pub use snapshot_pointer::SnapshotPointer;
pub use update::{ConfigUpdate, PeerUpdate, RelayedTicket};
