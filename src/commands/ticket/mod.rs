mod apply;
mod dispatch;
mod list;
mod show;
mod wait;

pub use dispatch::run;
