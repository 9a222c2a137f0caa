mod documents;
mod local_target;
mod run;

pub use run::run;
