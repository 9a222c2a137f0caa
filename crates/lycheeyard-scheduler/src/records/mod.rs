mod cache;
mod follower;

pub use cache::JobCache;
pub use follower::RecordFollower;
