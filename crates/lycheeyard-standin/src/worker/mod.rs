mod server;
mod state;

pub use server::WorkerStandin;
pub use state::WorkerState;
