//! Takes jobs in on every instance and drives the job scheduler on one of them.

mod admission;
mod clock;
mod config;
mod follow;
mod intake;
mod keys;
mod lead;
mod metrics;
mod ports;
mod term;

pub use admission::{Admitted, CallGate, FreshnessLimits, Refusal};
pub use clock::{Clock, SystemClock};
pub use config::{
    AccessKey, ConfigReader, ConfigState, ProvedConfig, QueueRoute, RouteMatch, ServingConfig,
    follow_config,
};
pub use intake::{CancelOutcome, IntakeError, JobIntake, StateOutcome, SubmitOutcome};
pub use lead::{Dispatcher, Environment, WorkerReader, run_scheduler};
pub use metrics::{CallKind, StoreCall, note_call, note_config, note_store_call};
pub use ports::{
    Advice, AdviceError, Commit, Item, ItemEvent, KeyValueStore, KvError, LeaseId,
    MachineCallError, MachineCalls, MachinePage, Page, PlacementAdvisor, Reading, Renewal,
    ReportAnswer, ReportRequest, StartReply, StoreRevision, Transaction, WatchAnswer, WaveFormat,
    WorkerCallError, WorkerCalls, WorkerClock,
};
pub use term::{Term, TermStanding};
