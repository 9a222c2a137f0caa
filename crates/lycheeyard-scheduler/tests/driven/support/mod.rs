//! Stand-ins for one data centre with schedulers that run against them.

mod cluster;

pub use cluster::{TestCluster, deadline};
