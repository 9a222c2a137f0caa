use super::{hosts::Hosts, unit::Unit};
use crate::scheduler::{JobScheduler, Now};
use std::{borrow::Cow, time::Duration};

/// Work that is cheap to stop leaves room for the urgent work that comes within so many stops
const SAVED_STOPS: u32 = 2;
/// and this time more.
const SAVED_TIME: Duration = Duration::from_millis(1500);
/// Other work leaves room for the urgent work that comes within this time.
const UNSAVED_TIME: Duration = Duration::from_secs(12);
/// Nothing is left free while less than one part in so many is in use.
const IDLE_DIVISOR: u32 = 2;

/// The accelerators that ordinary work leaves free for urgent work, so that little has to be stopped for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Headroom {
    /// By work that writes checkpoints.
    saved: u32,
    /// By other work.
    unsaved: u32,
}

impl Headroom {
    /// The headroom by what urgent jobs have asked for lately.
    pub fn of(scheduler: &JobScheduler, now: Now) -> Self {
        let arrivals = &scheduler.urgent_arrivals;
        let stops = scheduler.limits.stop_timeout * SAVED_STOPS;
        Self {
            saved: arrivals.expected_within(stops + SAVED_TIME, now.boot),
            unsaved: arrivals.expected_within(UNSAVED_TIME, now.boot),
        }
    }

    /// The part of a unit that leaves enough free; none if that is nothing of it.
    pub fn limit<'a>(self, unit: &'a Unit, hosts: &Hosts) -> Option<Cow<'a, Unit>> {
        let demand = unit.step().demand.accelerators;
        let spare = self.spare(unit, hosts, 0);
        let tasks = spare.checked_div(demand).unwrap_or(u32::MAX) as usize;
        if tasks == 0 || (unit.is_whole() && tasks < unit.waiting.len()) {
            return None;
        }
        if tasks >= unit.waiting.len() {
            return Some(Cow::Borrowed(unit));
        }
        let mut part = unit.clone();
        part.waiting.truncate(tasks);
        Some(Cow::Owned(part))
    }

    /// Whether a whole unit leaves enough free once others have given back so many accelerators.
    pub fn admits(self, unit: &Unit, hosts: &Hosts, given_back: u32) -> bool {
        unit.accelerators() <= self.spare(unit, hosts, given_back)
    }

    /// The accelerators that a unit may take.
    fn spare(self, unit: &Unit, hosts: &Hosts, given_back: u32) -> u32 {
        if unit.priority == 0 {
            return u32::MAX;
        }
        let (free, capacity) = hosts.accelerators(&unit.service);
        let is_idle = (capacity - free) * IDLE_DIVISOR < capacity;
        if is_idle {
            return u32::MAX;
        }
        let headroom = if unit.step().checkpointing {
            self.saved
        } else {
            self.unsaved
        };
        (free + given_back).saturating_sub(headroom)
    }
}
