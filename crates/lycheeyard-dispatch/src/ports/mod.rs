mod advisor;
mod error;
mod evacuations;
mod kv;
mod machines;
mod workers;

pub use advisor::{Advice, PlacementAdvisor};
pub use error::{AdviceError, KvError, MachineCallError, WorkerCallError, WriteRejection};
pub use evacuations::EvacuationFormat;
pub use kv::{
    CommitOutcome, GetResponse, Item, ItemEvent, KeyValueStore, LeaseId, Page, Renewal,
    StoreRevision, Transaction, WatchResponse,
};
pub use machines::{MachineCalls, MachinePage, WaveFormat};
pub use workers::{
    ReportAnswer, ReportRequest, StartReply, StartResponse, WorkerCalls, WorkerClock,
};
