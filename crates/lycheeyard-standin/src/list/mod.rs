mod server;

pub use server::ListStandin;
