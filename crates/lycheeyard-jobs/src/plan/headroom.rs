use super::{hosts::Hosts, pending_step::PendingStep};
use crate::scheduler::{JobScheduler, Now};
use std::{borrow::Cow, time::Duration};

/// Checkpointing tasks leave free the accelerators that urgent jobs are expected to request within this many stop
/// timeouts plus `CHECKPOINTED_MARGIN`. The window is short because such tasks are cheap to stop.
const CHECKPOINTED_STOP_TIMEOUTS: u32 = 2;
/// The time added to the stop timeouts in the window of checkpointing tasks.
const CHECKPOINTED_MARGIN: Duration = Duration::from_millis(1500);
/// Tasks without checkpoints leave free the accelerators that urgent jobs are expected to request within this time.
const UNCHECKPOINTED_WINDOW: Duration = Duration::from_secs(12);
/// Headroom does not apply while less than 1/`IDLE_DIVISOR` of the accelerators is in use.
const IDLE_DIVISOR: u64 = 2;

/// The accelerators that other work leaves free for urgent jobs (priority 0), so that few runs have to be preempted
/// for them.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// Left free by tasks that write checkpoints.
    checkpointed: u32,
    /// Left free by tasks that do not.
    uncheckpointed: u32,
}

impl Headroom {
    /// Estimates the headroom from the accelerators that urgent jobs requested recently.
    pub fn new(scheduler: &JobScheduler, now: Now) -> Self {
        let arrivals = &scheduler.urgent_arrivals;
        let stops = scheduler.limits.stop_timeout * CHECKPOINTED_STOP_TIMEOUTS;
        Self {
            checkpointed: arrivals.expected_within(stops + CHECKPOINTED_MARGIN, now.boot),
            uncheckpointed: arrivals.expected_within(UNCHECKPOINTED_WINDOW, now.boot),
        }
    }

    /// Returns the part of a step that keeps the headroom free, or `None` if no task may start. A gang is not split.
    pub fn limit<'a>(
        self,
        pending: &'a PendingStep,
        hosts: &Hosts,
    ) -> Option<Cow<'a, PendingStep>> {
        let demand = pending.step().demand.accelerators;
        let allowance = self.allowance(pending, hosts, 0);
        let tasks = allowance.checked_div(u64::from(demand));
        let tasks = usize::try_from(tasks.unwrap_or(u64::MAX)).unwrap_or(usize::MAX);
        if tasks == 0 || (pending.is_gang() && tasks < pending.tasks.len()) {
            return None;
        }
        if tasks >= pending.tasks.len() {
            return Some(Cow::Borrowed(pending));
        }
        let mut part = pending.clone();
        part.tasks.truncate(tasks);
        Some(Cow::Owned(part))
    }

    /// Whether all waiting tasks of a step keep the headroom free once other runs have released `released`
    /// accelerators.
    pub fn admits(self, pending: &PendingStep, hosts: &Hosts, released: u64) -> bool {
        u64::from(pending.accelerators()) <= self.allowance(pending, hosts, released)
    }

    /// Returns the number of accelerators that a step may take.
    fn allowance(self, pending: &PendingStep, hosts: &Hosts, released: u64) -> u64 {
        if pending.priority == 0 {
            return u64::MAX;
        }
        let (free, capacity) = hosts.accelerators(&pending.service);
        let is_idle = (capacity - free) * IDLE_DIVISOR < capacity;
        if is_idle {
            return u64::MAX;
        }
        let headroom = if pending.step().checkpointing {
            self.checkpointed
        } else {
            self.uncheckpointed
        };
        (free + released).saturating_sub(u64::from(headroom))
    }
}
