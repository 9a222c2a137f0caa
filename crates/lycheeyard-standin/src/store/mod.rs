mod counts;
mod server;
mod state;

pub use counts::StoreCounts;
pub use server::StoreStandin;
pub use state::StoreState;
