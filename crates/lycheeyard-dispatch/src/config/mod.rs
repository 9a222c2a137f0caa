mod follower;
mod next_call;
mod serving;
mod state;

pub use follower::{ConfigReader, follow_config};
pub use serving::{AccessKey, QueueRoute, RouteMatch, ServingConfig};
pub use state::{ConfigState, VerifiedConfig};
