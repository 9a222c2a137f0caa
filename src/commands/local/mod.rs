mod cluster;
mod run;
mod tour;

pub use run::run;
