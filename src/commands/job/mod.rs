mod cancel;
mod dispatch;
mod list;
mod show;
mod submit;

pub use dispatch::run;
