//! A test cluster of stand-ins with schedulers that run against it.

mod cluster;

pub use cluster::{TestCluster, deadline};
