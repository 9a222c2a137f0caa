mod counts;
mod fault;
mod scripted;
mod server;

pub use counts::RunnerCounts;
pub use fault::RunnerFault;
pub use scripted::{ScriptedCounts, ScriptedRunner};
pub use server::RunnerStandin;
