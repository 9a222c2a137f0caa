mod cancel;
mod dispatch;
mod explain;
mod list;
mod show;
mod submit;

pub use dispatch::run;
