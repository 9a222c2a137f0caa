//! Stand-ins for the platform: store, workers, runners and the instance list, over HTTP with JSON on loopback.
//!
//! They are fakes for development and tests. Each has [`Faults`], which inject failures at run time.
//! [`SimulatedSite`] drives the job scheduler and simulated workers in virtual time, without a network.

mod captured_log;
mod cluster;
mod crowd;
mod faults;
mod fleet;
mod http;
mod link;
mod list;
mod odd_json;
mod runner;
mod site;
mod store;
mod store_data;
mod worker;

pub use captured_log::CapturedLog;
pub use cluster::{ClusterError, Deployment, DeploymentSize, StandinCluster};
pub use crowd::{Crowd, PostRequest, ProcessUsage, UsageWatch};
pub use faults::{FaultSettings, Faults};
pub use fleet::{EntryApi, EntryFleet, EntryReply, FleetError, FleetTraffic, endless_job};
pub use http::{JsonHandler, StandinError, StandinServer};
pub use link::{Link, LinkBytes, LinkState};
pub use list::ListStandin;
pub use odd_json::odd_json;
pub use runner::{RunnerCounts, RunnerFault, RunnerStandin, ScriptedCounts, ScriptedRunner};
pub use site::{
    CrashingTasks, SimulatedAdvisor, SimulatedMachines, SimulatedSite, SimulatedWorker, SiteFault,
    StartCallOutcome, Violation, WorkerFaults,
};
pub use store::{StoreCounts, StoreStandin, StoreState};
pub use store_data::StoreData;
pub use worker::{TaskPayload, WorkerStandin, WorkerState};
