use super::{Resources, StepSet};
use lycheeyard_protocol::RackId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};

/// A set of identical tasks of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the properties are independent, and any may be combined"
)]
pub struct Step {
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task needs.
    pub demand: Resources,
    /// A rough estimate of a task's run time, in milliseconds.
    pub expected_ms: u64,
    /// The positions of the earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "StepSet::is_empty")]
    pub after: StepSet,
    /// Whether tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// Whether all the tasks must run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks run much slower when spread over more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack of the data; tasks run much slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<RackId>,
    /// The maximum number of tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_limit: Option<u32>,
    /// Whether a task may run in several copies.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// The upper limit for the tail of the response times of a long-running task, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_tail_ms: Option<u64>,
    /// Whether the tasks are best-effort: they run on CPU time that other tasks do not use, and none is reserved for
    /// them.
    #[serde(skip_serializing_if = "is_false", rename = "fills")]
    pub best_effort: bool,
    /// The maximum number of tasks of the step that the scheduler itself may make unavailable at a time.
    #[serde(skip_serializing_if = "Option::is_none", rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Whether a worker with these labels may run the tasks.
    #[must_use]
    pub fn accepts_labels(&self, labels: &BTreeSet<String>) -> bool {
        let label = self.required_label.as_ref();
        label.is_none_or(|label| labels.contains(label))
    }

    /// Returns the resources that are reserved on a worker for each task.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        Resources {
            cpu_milli: if self.best_effort {
                0
            } else {
                self.demand.cpu_milli
            },
            ..self.demand
        }
    }
}

/// Formats a step for log lines: tasks x accelerators, the estimated run time, and the properties that matter for
/// placement.
impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let accelerators = self.demand.accelerators;
        write!(f, "{}x{accelerators}@{}ms", self.tasks, self.expected_ms)?;
        let marks = [
            (self.gang, "gang"),
            (self.same_rack, "rack"),
            (self.checkpointing, "saves"),
            (self.data_rack.is_some(), "data"),
            (self.required_label.is_some(), "label"),
            (self.spread_limit.is_some(), "spread"),
            (self.speculative, "copies"),
            (self.long_running, "lasts"),
            (self.best_effort, "fills"),
        ];
        let marks = marks.into_iter().filter(|(is_set, _)| *is_set);
        for (_, mark) in marks {
            write!(f, "+{mark}")?;
        }
        Ok(())
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}
