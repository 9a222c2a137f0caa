use lycheeyard_protocol::{JobId, ParseError};
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

/// Identifies a step of one occurrence of a job; prints as `JOB.OCCURRENCE.STEP`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// The number of the occurrence, counted from 0.
    pub occurrence: u32,
    /// The position of the step in the job.
    pub step: usize,
}

impl StepKey {
    /// Returns the key of one task of the step.
    #[must_use]
    pub fn task(&self, index: usize) -> TaskKey {
        TaskKey {
            step: self.clone(),
            index,
        }
    }
}

/// Identifies a task; prints as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskKey {
    /// The step that the task belongs to.
    pub step: StepKey,
    /// The position of the task in the step.
    pub index: usize,
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let malformed = || ParseError::Number {
            kind: "TaskKey",
            text: text.to_owned(),
        };
        let mut parts = text.rsplitn(4, '.');
        let index = parts.next().and_then(|part| part.parse().ok());
        let step = parts.next().and_then(|part| part.parse().ok());
        let occurrence = parts.next().and_then(|part| part.parse().ok());
        let job = parts.next().ok_or_else(malformed)?;
        Ok(Self {
            step: StepKey {
                job: job.parse()?,
                occurrence: occurrence.ok_or_else(malformed)?,
                step: step.ok_or_else(malformed)?,
            },
            index: index.ok_or_else(malformed)?,
        })
    }
}
