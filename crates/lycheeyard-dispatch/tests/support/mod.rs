//! A store, workers and instances in one process, under paused time.

#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod advisor;
mod clock;
mod documents;
mod fleet;
mod link;
mod machines;
mod store;
mod workers;

pub use advisor::FakeAdvisor;
pub use clock::TestClock;
pub use documents::{KEY, QUEUE, config, gang, job, step};
pub use fleet::Fleet;
pub use link::Link;
pub use machines::{FakeMachines, TestWaves};
pub use store::FakeStore;
pub use workers::FakeWorkers;
