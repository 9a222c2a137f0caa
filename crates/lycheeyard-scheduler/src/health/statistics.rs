use super::WorkerHealth;
use lycheeyard_policy::{DecayedUsage, RunTimeCorrection};
use lycheeyard_protocol::{JobRecord, OrganisationId, Timestamp};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, time::Duration};

/// The longest time that one charge covers, after an interval in which no scheduler charged.
const MAX_CHARGE: Duration = Duration::from_secs(15 * 60);

/// Statistics that a scheduler stores for its successor: worker health, usage and run-time corrections.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SchedulerStatistics {
    /// The health of the workers.
    pub health: WorkerHealth,
    /// The recent usage of each organisation.
    pub usage: BTreeMap<OrganisationId, DecayedUsage>,
    /// How far the real run times of each organisation differ from the declared ones.
    pub corrections: BTreeMap<OrganisationId, RunTimeCorrection>,
    /// The time up to which usage has been charged.
    pub charged_until: Timestamp,
}

impl SchedulerStatistics {
    /// Charges organisations for the accelerators that their jobs held from the last charge until now.
    pub fn charge<'a>(&mut self, records: impl IntoIterator<Item = &'a JobRecord>, now: Timestamp) {
        let earliest = Timestamp(now.0.saturating_sub(millis(MAX_CHARGE)));
        let from = self.charged_until.max(earliest);
        for record in records {
            let Some(placement) = &record.placement else {
                continue;
            };
            let started_at = record.started_at.unwrap_or(from);
            let used = now.since(from.max(started_at));
            let count = u32::try_from(placement.accelerators().count()).unwrap_or(u32::MAX);
            let usage = self.usage.entry(record.spec.organisation.clone());
            let usage = usage.or_default();
            *usage = usage.add(count, used, now);
        }
        self.charged_until = now;
    }

    /// Updates the organisation's run-time correction from a job that succeeded.
    pub fn observe_run(&mut self, record: &JobRecord, now: Timestamp) {
        let Some(started_at) = record.started_at else {
            return;
        };
        let checkpointed = Duration::from_millis(record.checkpoint_ms);
        let declared = Duration::from_millis(record.spec.run_time_ms);
        let organisation = record.spec.organisation.clone();
        let correction = self.corrections.entry(organisation).or_default();
        *correction = correction.observe(declared, checkpointed + now.since(started_at));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
