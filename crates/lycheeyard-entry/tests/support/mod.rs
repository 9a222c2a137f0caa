//! Entry instances as processes of their own, over stand-ins in the test's process.

mod api;
mod fleet;

pub use api::{Api, job_spec};
pub use fleet::Fleet;
