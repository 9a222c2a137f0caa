use super::pending_step::PendingStep;
use crate::Resources;
use lycheeyard_protocol::{RackId, ServiceId};

/// What a step requires of hosts, apart from its number of tasks and its run time.
#[derive(Clone, Debug, PartialEq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "properties of a step, which combine freely"
)]
struct Requirements {
    service: ServiceId,
    demand: Resources,
    priority: u32,
    is_gang: bool,
    same_rack: bool,
    checkpointing: bool,
    data_rack: Option<RackId>,
    required_label: Option<String>,
    best_effort: bool,
    needs_lasting_room: bool,
}

/// The steps that did not fit in the current round. Another step with the same requirements and at least as many
/// tasks and as long a run time does not fit either, since a round only allocates resources.
#[derive(Clone, Debug, Default)]
pub(super) struct PlacementFailures {
    entries: Vec<PlacementFailure>,
}

#[derive(Clone, Debug)]
struct PlacementFailure {
    requirements: Requirements,
    /// The smallest number of tasks that did not fit.
    tasks: usize,
    /// The shortest expected run time that did not fit, in milliseconds.
    run_ms: u64,
}

impl PlacementFailures {
    /// Records a step of which no task fits.
    pub fn record(&mut self, pending: &PendingStep) {
        // Such a step may have failed through its spread limit or the advisor, which other steps do not share.
        if pending.step().spread_limit.is_some() || pending.permits.is_advised() {
            return;
        }
        let requirements = requirements_of(pending);
        let tasks = pending.min_tasks();
        let run_ms = pending.expected_ms;
        let earlier = self.entries.iter_mut().find(|failure| {
            failure.requirements == requirements
                && failure.tasks >= tasks
                && failure.run_ms >= run_ms
        });
        match earlier {
            Some(failure) => {
                failure.tasks = tasks;
                failure.run_ms = run_ms;
            }
            None => self.entries.push(PlacementFailure {
                requirements,
                tasks,
                run_ms,
            }),
        }
    }

    /// Whether an earlier failure shows that no task of a step fits.
    pub fn rules_out(&self, pending: &PendingStep) -> bool {
        if pending.step().spread_limit.is_some() || !pending.avoided_workers.is_empty() {
            return false;
        }
        let tasks = pending.min_tasks();
        let requirements = requirements_of(pending);
        self.entries.iter().any(|failure| {
            failure.tasks <= tasks
                && failure.run_ms <= pending.expected_ms
                && failure.requirements == requirements
        })
    }
}

fn requirements_of(pending: &PendingStep) -> Requirements {
    let step = pending.step();
    Requirements {
        service: pending.service.clone(),
        demand: step.reserved(),
        priority: pending.priority,
        is_gang: pending.is_gang(),
        same_rack: step.same_rack,
        checkpointing: step.checkpointing,
        data_rack: step.data_rack.clone(),
        required_label: step.required_label.clone(),
        best_effort: step.best_effort,
        needs_lasting_room: pending.needs_lasting_room(),
    }
}
