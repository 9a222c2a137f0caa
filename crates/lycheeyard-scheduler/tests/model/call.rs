//! Calls in transit.

use lycheeyard_protocol::{
    JobRecord, TaskId,
    platform::{StartRequest, TaskRequest},
};

/// The request of a call; the first field of a worker call is the worker's index.
#[derive(Clone, Debug)]
pub enum Body {
    Prepare(usize, TaskRequest),
    Start(usize, StartRequest),
    Stop(usize, TaskId),
    Save(u64, Box<JobRecord>),
}

impl Body {
    /// The index of the called worker, or `None` for a call to the store.
    pub fn worker(&self) -> Option<usize> {
        match self {
            Self::Prepare(worker, _) | Self::Start(worker, _) | Self::Stop(worker, _) => {
                Some(*worker)
            }
            Self::Save(..) => None,
        }
    }
}

/// A call that a scheduler sent for a job and that has not arrived yet.
#[derive(Clone, Debug)]
pub struct Call {
    /// The index of the scheduler that sent the call.
    pub from: usize,
    pub job: usize,
    pub sent_at: u64,
    pub body: Body,
}
