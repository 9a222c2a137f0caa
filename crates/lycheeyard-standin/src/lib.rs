//! Stand-ins for the platform: store, workers, runners and the instance list, over HTTP with JSON on loopback.
//!
//! They are fakes for development and tests. Each carries [`Faults`], switches that make it misbehave.

mod cluster;
mod faults;
mod fleet;
mod http;
mod link;
mod list;
mod runner;
mod store;
mod worker;

pub use cluster::{ClusterError, Deployment, DeploymentSize, StandinCluster};
pub use faults::{FaultSettings, Faults};
pub use fleet::{EntryApi, EntryFleet, EntryReply, FleetError, PeerTraffic, endless_job};
pub use http::{JsonHandler, StandinError, StandinServer};
pub use link::{Link, LinkBytes, LinkState};
pub use list::ListStandin;
pub use runner::{RunnerCounts, RunnerFault, RunnerStandin, ScriptedCounts, ScriptedRunner};
pub use store::{StoreCounts, StoreStandin, StoreState};
pub use worker::{TaskPayload, WorkerStandin, WorkerState};
