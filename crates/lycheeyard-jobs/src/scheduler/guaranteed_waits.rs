use super::{JobScheduler, Now, StartStages, WaitingStep};
use crate::{BootTime, StepKey, plan::SiteRoom};
use lycheeyard_protocol::OrganisationId;
use std::{collections::BTreeMap, time::Duration};

/// A step inside its organisation's guarantee is named in the logs when it has waited this long, and again after as long. Callers are
/// promised a start within 2.7 s.
const GUARANTEED_WAIT: Duration = Duration::from_secs(1);
/// How long a step inside its organisation's guarantee waits for the rack of its data, or for one rack. It leaves enough of what callers are
/// promised for the stop of other runs, and for a round before and after it that come late.
const MAX_WAIT_FOR_RACK: Duration = Duration::from_millis(700);
/// How many steps are named at a time.
const MAX_NAMED: usize = 3;

/// The waiting tasks of a step that its organisation's guarantee covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuaranteedWait {
    /// When a planning round first found that the guarantee covers them.
    since: BootTime,
    /// Until when the rack may keep them from starting elsewhere.
    local_until: BootTime,
    /// They are not named in the logs before this.
    next_at: BootTime,
}

/// A step that waits although its organisation's guarantee covers it, for logs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingGuarantee {
    /// The step, and what keeps it from starting.
    pub waiting: WaitingStep,
    /// The organisation.
    pub organisation: OrganisationId,
    /// Why the job has waited in planning rounds of this term.
    pub stages: StartStages,
}

impl JobScheduler {
    /// Notes the steps that wait in this round and are inside their organisations' guarantees.
    pub(crate) fn note_guaranteed_waits<'a>(
        &mut self,
        steps: impl Iterator<Item = &'a StepKey>,
        now: BootTime,
    ) {
        let mut former = std::mem::take(&mut self.guaranteed_waits);
        let waits = steps.map(|key| {
            let known = former.remove_entry(key);
            known.unwrap_or_else(|| {
                let wait = GuaranteedWait {
                    since: now,
                    local_until: now.after(MAX_WAIT_FOR_RACK),
                    next_at: now.after(GUARANTEED_WAIT),
                };
                (key.clone(), wait)
            })
        });
        let waits: BTreeMap<_, _> = waits.collect();
        self.guaranteed_waits = waits;
    }

    /// Whether a step inside its organisation's guarantee has waited for its rack for as long as it may.
    pub(crate) fn may_leave_rack(&self, key: &StepKey, now: BootTime) -> bool {
        let leaves_at = self.leaves_rack_inside_guarantee_at(key);
        leaves_at.is_some_and(|at| at.is_past(now))
    }

    /// When a step leaves its rack that its organisation's guarantee covers; `None` if none does.
    pub(crate) fn leaves_rack_inside_guarantee_at(&self, key: &StepKey) -> Option<BootTime> {
        let wait = self.guaranteed_waits.get(key);
        wait.map(|wait| wait.local_until)
    }

    /// Returns steps that have waited for long inside their organisations' guarantees, those that have waited longest. The driver calls it
    /// about once a second.
    pub fn take_guaranteed_waits(&mut self, now: Now) -> Vec<WaitingGuarantee> {
        let due = self.guaranteed_waits.iter();
        let due = due.filter(|(_, wait)| wait.next_at.is_past(now.boot));
        let mut due: Vec<_> = due.map(|(key, wait)| (wait.since, key.clone())).collect();
        due.sort();
        due.truncate(MAX_NAMED);
        let mut named = Vec::new();
        if due.is_empty() {
            return named;
        }
        let site = SiteRoom::new(self, now);
        for (since, key) in due {
            if let Some(wait) = self.guaranteed_waits.get_mut(&key) {
                wait.next_at = now.boot.after(GUARANTEED_WAIT);
            }
            named.extend(self.waiting_guarantee(&key, since, &site, now));
        }
        named
    }

    /// `None` if the step does not wait any more.
    fn waiting_guarantee(
        &self,
        key: &StepKey,
        since: BootTime,
        site: &SiteRoom,
        now: Now,
    ) -> Option<WaitingGuarantee> {
        let entry = self.jobs.get(&key.job)?;
        let wait = self.step_wait(entry, key, site, now)?;
        Some(WaitingGuarantee {
            waiting: self.describe_wait(entry, key, wait, since, site, now),
            organisation: entry.job.organisation.clone(),
            stages: entry.stages,
        })
    }
}
