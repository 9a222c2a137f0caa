mod dispatch;
mod explain;
mod summary;

pub use dispatch::run;
