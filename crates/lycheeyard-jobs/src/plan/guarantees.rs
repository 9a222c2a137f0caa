use super::pending_step::PendingStep;
use crate::scheduler::JobScheduler;
use lycheeyard_protocol::OrganisationId;
use std::collections::BTreeMap;

/// The priority of the jobs that a guarantee covers.
const GUARANTEED_PRIORITY: u32 = 0;

/// The accelerators that each organisation's guarantee still covers; negative if the organisation exceeds it.
#[derive(Clone, Debug)]
pub(super) struct Guarantees {
    remaining: BTreeMap<OrganisationId, i64>,
}

impl Guarantees {
    /// Subtracts the accelerators of each organisation's guaranteed-priority runs from its guarantee. Runs of jobs that
    /// have ended do not count, although they may use accelerators until their workers confirm the stop.
    pub fn new(scheduler: &JobScheduler) -> Self {
        let guarantees = scheduler.policy.guarantees.iter();
        let mut remaining: BTreeMap<OrganisationId, i64> = guarantees
            .map(|(organisation, &count)| (organisation.clone(), i64::from(count)))
            .collect();
        for (task, run) in &scheduler.runs {
            let Some(entry) = scheduler.jobs.get(&task.step.job) else {
                continue;
            };
            let has_ended = entry.progress.state.is_final();
            if has_ended || scheduler.queue_policy(&entry.job).priority != GUARANTEED_PRIORITY {
                continue;
            }
            if let Some(left) = remaining.get_mut(&entry.job.organisation) {
                *left -= i64::from(run.demand.accelerators);
            }
        }
        Self { remaining }
    }

    /// Marks the steps that the guarantees cover, in the given order.
    pub fn mark_guaranteed(&mut self, pending_steps: &mut [PendingStep]) {
        for pending in pending_steps {
            if pending.priority != GUARANTEED_PRIORITY {
                continue;
            }
            let need = i64::from(pending.accelerators());
            let Some(left) = self.remaining.get_mut(&pending.job.organisation) else {
                continue;
            };
            if need <= *left {
                *left -= need;
                pending.is_guaranteed = true;
            }
        }
    }

    /// Whether an organisation runs more than its guarantee covers; true if it has no guarantee.
    pub fn is_exceeded(&self, organisation: &OrganisationId) -> bool {
        self.remaining
            .get(organisation)
            .is_none_or(|left| *left < 0)
    }
}
