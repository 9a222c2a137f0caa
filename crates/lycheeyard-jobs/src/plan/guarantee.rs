use super::unit::Unit;
use crate::scheduler::JobScheduler;
use lycheeyard_protocol::OrganisationId;
use std::collections::BTreeMap;

/// The priority of the jobs that a guarantee covers.
const GUARANTEED_PRIORITY: u32 = 0;

/// What the guarantees of the organisations still cover.
#[derive(Clone, Debug)]
pub(super) struct Guarantees {
    left: BTreeMap<OrganisationId, i64>,
}

impl Guarantees {
    /// Counts what the running work of each organisation takes of its guarantee.
    pub fn of(scheduler: &JobScheduler) -> Self {
        let guarantees = scheduler.policy.guarantees.iter();
        let mut left: BTreeMap<OrganisationId, i64> = guarantees
            .map(|(organisation, &count)| (organisation.clone(), i64::from(count)))
            .collect();
        for (task, run) in &scheduler.runs {
            let Some(entry) = scheduler.jobs.get(&task.step.job) else {
                continue;
            };
            if scheduler.queue_policy(&entry.job).priority != GUARANTEED_PRIORITY {
                continue;
            }
            if let Some(left) = left.get_mut(&entry.job.organisation) {
                *left -= i64::from(run.demand.accelerators);
            }
        }
        Self { left }
    }

    /// Marks the units that the guarantees cover, in the order given.
    pub fn mark(&mut self, units: &mut [Unit]) {
        for unit in units {
            if unit.priority != GUARANTEED_PRIORITY {
                continue;
            }
            let need = i64::from(unit.accelerators());
            let Some(left) = self.left.get_mut(&unit.job.organisation) else {
                continue;
            };
            if need <= *left {
                *left -= need;
                unit.is_guaranteed = true;
            }
        }
    }

    /// Whether an organisation runs more than its guarantee covers.
    pub fn is_exceeded(&self, organisation: &OrganisationId) -> bool {
        self.left.get(organisation).is_none_or(|left| *left < 0)
    }
}
