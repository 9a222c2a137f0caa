//! Accepts jobs on every instance, and runs the job scheduler on the one instance that holds the scheduling lease.

mod admission;
mod clock;
mod config;
mod dated;
mod follow;
mod intake;
mod keys;
mod lead;
mod metrics;
mod pass_part;
mod peers;
mod ports;
mod term;

pub use admission::{AdmittedCall, CallGate, FreshnessLimits, Refusal};
pub use clock::{Clock, SystemClock};
pub use config::{
    AccessKey, ConfigReader, ConfigState, QueueRoute, RouteMatch, ServingConfig, VerifiedConfig,
    follow_config,
};
pub use dated::{DatedStore, RevisionAge, RevisionTimes};
pub use intake::{CancelOutcome, IntakeError, JobIntake, QueueClosed, StateOutcome, SubmitOutcome};
pub use lead::{Dispatcher, Environment, WorkerReader, run_scheduler};
pub use metrics::{
    CallKind, StoreCall, record_call, record_config, record_refusal, record_store_call,
    record_unserved_call,
};
pub use pass_part::PassPart;
pub use peers::{
    PeerCalls, PeerDirectory, PeerRegistration, PeerReply, ask_peers, keep_registered,
};
pub use ports::{
    Advice, AdviceError, CommitOutcome, EvacuationFormat, GetResponse, Item, ItemEvent,
    KeyValueStore, KvError, LeaseId, MachineCallError, MachineCalls, MachinePage, Page,
    PlacementAdvisor, Renewal, ReportAnswer, ReportRequest, StartReply, StartResponse,
    StoreRevision, Transaction, WatchResponse, WaveFormat, WorkerCallError, WorkerCalls,
    WorkerClock, WriteRejection,
};
pub use term::{InstanceSize, Term, TermState};
