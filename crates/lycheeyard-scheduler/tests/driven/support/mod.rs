//! Stand-ins for one data centre with schedulers that run against them.

mod rig;

pub use rig::{Rig, deadline};
