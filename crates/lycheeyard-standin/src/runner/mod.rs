mod counts;
mod server;

pub use counts::RunnerCounts;
pub use server::RunnerStandin;
