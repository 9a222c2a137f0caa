use crate::ports::WorkerCallError;

/// How the latest report request to a worker has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Contact {
    /// There is no answer of the incarnation yet, or none that is recent.
    New,
    /// The incarnation has answered.
    Answers,
    /// There was no usable answer.
    Silent,
    /// The answer told no incarnation.
    Anonymous,
}

impl Contact {
    /// The contact after a request without a usable answer.
    pub fn after(err: &WorkerCallError) -> Self {
        match err {
            WorkerCallError::NoIncarnation => Self::Anonymous,
            _ => Self::Silent,
        }
    }

    /// Whether the latest request got no usable answer.
    pub fn has_failed(self) -> bool {
        matches!(self, Self::Silent | Self::Anonymous)
    }
}
