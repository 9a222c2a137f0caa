mod payload;
mod server;
mod state;
mod task;

pub use payload::TaskPayload;
pub use server::WorkerStandin;
pub use state::WorkerState;
