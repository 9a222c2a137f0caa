mod cluster;
mod run;
mod tour;

pub use cluster::LocalCluster;
pub use run::run;
