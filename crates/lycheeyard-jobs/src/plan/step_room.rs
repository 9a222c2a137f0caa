use super::{
    host::Host,
    hosts::Hosts,
    pending_step::PendingStep,
    place::{Locality, slots_on},
};
use crate::{
    Resources, StepKey,
    scheduler::{JobEntry, JobScheduler, Now},
};
use lycheeyard_protocol::Percent;
use std::fmt;

/// The room that a step finds on some workers; room that is reserved or drained counts as free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepRoom {
    /// How many times over the least that can start together fits: one task, or all members of a gang.
    pub times: usize,
    /// How much of the capacity of the service runs use, workers in quarantine included, with accelerators counted as cores.
    pub in_use: Percent,
}

/// A step has ample room if it fits this many times over.
pub(super) const AMPLE_TIMES: usize = 2;

impl StepRoom {
    /// Whether the step could start and leave as much room as it takes.
    #[must_use]
    pub fn is_ample(self) -> bool {
        self.times >= AMPLE_TIMES
    }
}

impl fmt::Display for StepRoom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "fits {} times, {}% in use", self.times, self.in_use)
    }
}

/// The workers at one moment, for what the logs say about several steps.
pub(crate) struct SiteRoom {
    pub(super) hosts: Hosts,
}

impl SiteRoom {
    pub fn new(scheduler: &JobScheduler, now: Now) -> Self {
        Self {
            hosts: Hosts::new(scheduler, now),
        }
    }
}

impl JobScheduler {
    /// Returns the room for the waiting tasks of a step on the workers that accept runs, and the racks that it prefers.
    pub(crate) fn step_room(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        site: &SiteRoom,
        now: Now,
    ) -> StepRoom {
        let hosts = &site.hosts;
        let policy = self.queue_policy(&entry.job);
        let may_begin = entry.progress.tasks_that_may_begin();
        let times = &self.run_times;
        let pending = PendingStep::for_step(entry, key.clone(), may_begin, policy, times, now.boot);
        let times = pending.map_or(0, |pending| {
            let slots = slots_on(hosts.usable(), &pending, Locality::Local, unreserved);
            slots / pending.min_tasks().max(1)
        });
        StepRoom {
            times,
            in_use: hosts.in_use(&policy.service),
        }
    }

    /// Returns the room for a step on any rack, also on workers in quarantine, whether or not its tasks wait for runs that have not
    /// certainly ended. Callers count this room.
    pub(crate) fn room_anywhere(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        site: &SiteRoom,
    ) -> StepRoom {
        let service = &self.queue_policy(&entry.job).service;
        StepRoom {
            times: self.times_anywhere(entry, key, site, usize::MAX),
            in_use: site.hosts.in_use(service),
        }
    }

    /// Whether there is ample room for a step anywhere. Looks at no more workers than it needs to.
    pub(crate) fn has_ample_room_anywhere(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        site: &SiteRoom,
    ) -> bool {
        self.times_anywhere(entry, key, site, AMPLE_TIMES) >= AMPLE_TIMES
    }

    /// Returns how many times over the least of a step fits that can start together. Stops at `enough`.
    fn times_anywhere(
        &self,
        entry: &JobEntry,
        key: &StepKey,
        site: &SiteRoom,
        enough: usize,
    ) -> usize {
        let step = &entry.job.steps[key.step];
        let service = &self.queue_policy(&entry.job).service;
        let least = if step.gang {
            (step.tasks as usize).max(1)
        } else {
            1
        };
        let demand = step.reserved();
        let spread_limit = step.spread_limit.unwrap_or(u32::MAX);
        let enough = least.saturating_mul(enough);
        let mut slots = 0_usize;
        for host in site.hosts.with_quarantined() {
            if slots >= enough {
                break;
            }
            let fits = unreserved(host).fit_count(&demand).min(spread_limit);
            if fits > 0 && host.admits(step, service) {
                slots = slots.saturating_add(fits as usize);
            }
        }
        slots / least
    }
}

/// Resources of a host that runs do not use.
fn unreserved(host: &Host) -> Resources {
    host.capacity.saturating_sub(&host.used)
}
