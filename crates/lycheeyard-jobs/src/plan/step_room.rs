use super::{
    hosts::Hosts,
    pending_step::PendingStep,
    place::{Locality, slots_on},
};
use crate::{
    StepKey,
    scheduler::{JobEntry, JobScheduler, Now},
};
use lycheeyard_protocol::Percent;
use std::fmt;

/// The room that a step finds on the workers which accept runs; room that is reserved or drained counts as free.
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

impl JobScheduler {
    /// Returns the room for the waiting tasks of a step.
    pub(crate) fn step_room(&self, entry: &JobEntry, key: &StepKey, now: Now) -> StepRoom {
        let mut hosts = Hosts::new(self, now);
        hosts.release_all_reservations();
        let policy = self.queue_policy(&entry.job);
        let in_use = hosts.in_use(&policy.service);
        let may_begin = entry.progress.tasks_that_may_begin();
        let times = &self.run_times;
        let pending = PendingStep::for_step(entry, key.clone(), may_begin, policy, times, now.boot);
        let times = pending.map_or(0, |pending| {
            let slots = slots_on(hosts.usable(), &pending, Locality::Local, |host| {
                host.free()
            });
            slots / pending.min_tasks().max(1)
        });
        StepRoom { times, in_use }
    }
}
