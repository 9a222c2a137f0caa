use crate::CallError;
use thiserror::Error;

/// Why a call to a worker gave no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WorkerError {
    /// The worker certainly did not execute the call.
    #[error("the worker did not act: {0}")]
    NotApplied(CallError),
    /// The worker may have executed the call.
    #[error("the worker may have acted: {0}")]
    Unknown(CallError),
}

impl From<CallError> for WorkerError {
    fn from(err: CallError) -> Self {
        if err.has_no_effect() {
            Self::NotApplied(err)
        } else {
            Self::Unknown(err)
        }
    }
}
