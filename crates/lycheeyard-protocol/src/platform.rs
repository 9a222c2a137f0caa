//! Messages of the platform's interfaces: the store, the workers and the instance list.

mod list;
mod store;
mod worker;

pub use list::{InstanceList, ListReply, ListRequest};
pub use store::{
    Expectation, KeyValue, RangeReply, RangeRequest, WatchRequest, WriteReply, WriteRequest,
};
pub use worker::{
    PrepareReply, RenewRequest, StartRequest, StopRequest, TaskReport, TaskRequest, TaskState,
    WorkerReport,
};
