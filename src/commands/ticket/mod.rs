mod apply;
mod dispatch;
mod list;
mod show;

pub use dispatch::run;
