use super::Resources;
use lycheeyard_protocol::RackId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};

/// A number of alike tasks of a job.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each says one thing of the tasks, and any may be combined"
)]
pub struct Step {
    /// How many tasks.
    pub tasks: u32,
    /// What each task needs.
    pub demand: Resources,
    /// A rough estimate of a task's run time, in milliseconds.
    pub expected_ms: u64,
    /// The earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub after: BTreeSet<usize>,
    /// Whether tasks write checkpoints.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointing: bool,
    /// Whether the tasks run only all together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks run much slower on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// A label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack of the data; tasks run much slower elsewhere.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<RackId>,
    /// At most so many tasks of the step on one worker.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub spread_limit: Option<u32>,
    /// Whether a task may run in several copies.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// Below this the tail of a long-running task's response times must stay, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub target_tail_ms: Option<u64>,
    /// Whether tasks run on the processor time that others leave; none is set aside for them.
    #[serde(skip_serializing_if = "is_false", rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of the step may be away at a time through what the scheduler itself does.
    #[serde(skip_serializing_if = "Option::is_none", rename = "may_miss")]
    pub max_unavailable: Option<u32>,
}

impl Step {
    /// Whether a worker with these labels will do.
    #[must_use]
    pub fn accepts_labels(&self, labels: &BTreeSet<String>) -> bool {
        let label = self.required_label.as_ref();
        label.is_none_or(|label| labels.contains(label))
    }

    /// What is set aside on a worker for each task.
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

/// For logs: tasks x accelerators, the estimate, and what else matters for placing.
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
    reason = "serde asks for a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}
