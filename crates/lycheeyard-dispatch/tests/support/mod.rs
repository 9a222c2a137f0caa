//! Fakes of the external systems and instances in one process, under paused Tokio time.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses only some of the helpers"
)]

mod advisor;
mod call_faults;
mod clock;
mod first_worker;
mod fixtures;
mod fleet;
mod leases;
mod link;
mod machines;
mod read_limit;
mod start_fault;
mod store;
mod workers;

pub use advisor::FakeAdvisor;
pub use call_faults::{CallFate, CallFaults};
pub use clock::TestClock;
pub use first_worker::{first_worker, remove_first_entry};
pub use fixtures::{KEY, QUEUE, URGENT_QUEUE, config, gang, job, step, urgent_job};
pub use fleet::{Fleet, TestReader};
pub use link::Link;
pub use machines::{FakeMachines, TestWaves};
pub use start_fault::StartFault;
pub use store::FakeStore;
pub use workers::FakeWorkers;
