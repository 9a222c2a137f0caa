//! Entry instances as real processes, over stand-ins in the test's process.

mod partitions;
mod processes;
mod requests;
mod support;
