mod driver;
mod status;

pub use driver::GangDriver;
pub use status::GangStatus;
