mod choose;

pub use choose::{RunnerLoad, choose_runner};
