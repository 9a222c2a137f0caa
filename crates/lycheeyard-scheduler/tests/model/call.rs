//! Calls on their way.

use lycheeyard_protocol::{
    JobRecord, TaskId,
    platform::{StartRequest, TaskRequest},
};

/// What a call asks for.
#[derive(Clone, Debug)]
pub enum Body {
    Prepare(usize, TaskRequest),
    Start(usize, StartRequest),
    Stop(usize, TaskId),
    Save(u64, Box<JobRecord>),
}

impl Body {
    /// The worker that the call goes to, if it goes to one.
    pub fn worker(&self) -> Option<usize> {
        match self {
            Self::Prepare(worker, _) | Self::Start(worker, _) | Self::Stop(worker, _) => {
                Some(*worker)
            }
            Self::Save(..) => None,
        }
    }
}

/// A call of a scheduler for a job that has not arrived yet.
#[derive(Clone, Debug)]
pub struct Call {
    pub from: usize,
    pub job: usize,
    pub sent_at: u64,
    pub body: Body,
}
