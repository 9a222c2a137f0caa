mod audit;
mod dispatch;
mod flags;
mod job;
mod load;
mod local;
mod logs;
mod options;
mod request;
mod status;
mod ticket;

pub use dispatch::run;
