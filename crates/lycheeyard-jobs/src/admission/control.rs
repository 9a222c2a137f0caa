use super::{
    ClosedQueue, OrganisationQueue, QueueBacklog, QueueChange, QueueLoad, QueueState, ServiceLoad,
    obtained_capacity::ObtainedCapacity, waits::expected_waits,
};
use crate::{BootTime, Resources, scheduler::Now};
use lycheeyard_protocol::{QueueId, ServiceId};
use std::{collections::BTreeMap, time::Duration};

/// Nothing is closed in this time from the beginning of a term: until then workers that have not reported may still do so.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// A closed queue is opened below this many quarters of the wait at which it is closed.
const OPEN_QUARTERS: u64 = 3;
/// The times of a closed queue are corrected if they are off by more than this, and no more often.
const CORRECTION: Duration = Duration::from_secs(2);

/// Decides which queues are closed for which organisations during one term.
#[derive(Clone, Debug)]
pub struct AdmissionControl {
    decides_from: BootTime,
    services: BTreeMap<ServiceId, ServiceState>,
    closed: BTreeMap<OrganisationQueue, Closure>,
    backlogs: BTreeMap<QueueId, QueueBacklog>,
}

#[derive(Clone, Debug, Default)]
struct ServiceState {
    obtained: ObtainedCapacity,
    /// The last capacity that was not zero; `None` if there was none in this term.
    capacity: Option<Resources>,
}

#[derive(Clone, Copy, Debug)]
struct Closure {
    value: ClosedQueue,
    valued_at: BootTime,
}

impl AdmissionControl {
    /// Creates the control of a term that begins now, with all queues open.
    #[must_use]
    pub fn new(now: BootTime) -> Self {
        Self {
            decides_from: now.after(LEARNING_TIME),
            services: BTreeMap::new(),
            closed: BTreeMap::new(),
            backlogs: BTreeMap::new(),
        }
    }

    /// Decides anew for the present load of each service. Returns the queues that were closed or opened.
    pub fn update(
        &mut self,
        loads: &BTreeMap<ServiceId, ServiceLoad>,
        now: Now,
    ) -> Vec<QueueChange> {
        let mut changes = self.open_queues_without_work(loads);
        for backlog in self.backlogs.values_mut() {
            *backlog = QueueBacklog::default();
        }
        self.services
            .retain(|service, _| loads.contains_key(service));
        for (service, load) in loads {
            let state = self.services.entry(service.clone()).or_default();
            if load.capacity.accelerators > 0 || load.capacity.cpu_milli > 0 {
                state.capacity = Some(load.capacity);
            }
            let Some(capacity) = state.capacity else {
                continue;
            };
            state.obtained.record(load, &capacity, now.boot);
            let waits = expected_waits(load, &capacity, &state.obtained);
            for (of, queue) in &load.queues {
                let wait_ms = waits.get(of).copied().unwrap_or(0);
                changes.extend(self.decide(of, queue, wait_ms, now));
                self.count(of, wait_ms);
            }
        }
        changes
    }

    /// The queues that are closed, and what the store is to say of them.
    #[must_use]
    pub fn closed(&self) -> BTreeMap<OrganisationQueue, ClosedQueue> {
        let closed = self.closed.iter();
        closed
            .map(|(of, closure)| (of.clone(), closure.value))
            .collect()
    }

    /// The backlogs of the queues that have had work in this term.
    #[must_use]
    pub fn backlogs(&self) -> &BTreeMap<QueueId, QueueBacklog> {
        &self.backlogs
    }

    fn open_queues_without_work(
        &mut self,
        loads: &BTreeMap<ServiceId, ServiceLoad>,
    ) -> Vec<QueueChange> {
        let has_work = |of: &OrganisationQueue| {
            let mut loads = loads.values();
            loads.any(|load| load.queues.contains_key(of))
        };
        let mut opened = Vec::new();
        self.closed.retain(|of, _| {
            let stays = has_work(of);
            if !stays {
                opened.push(QueueChange {
                    of: of.clone(),
                    state: QueueState::Open,
                    wait: Duration::ZERO,
                    longest_wait: None,
                });
            }
            stays
        });
        opened
    }

    fn decide(
        &mut self,
        of: &OrganisationQueue,
        queue: &QueueLoad,
        wait_ms: u64,
        now: Now,
    ) -> Option<QueueChange> {
        let may_close = !queue.is_guaranteed && self.decides_from.is_past(now.boot);
        let close_ms = queue.longest_wait_ms.filter(|_| may_close);
        let open_ms = close_ms.map(|close_ms| close_ms / 4 * OPEN_QUARTERS);
        let was_closed = self.closed.contains_key(of);
        let limit_ms = if was_closed { open_ms } else { close_ms };
        let is_closed = limit_ms.is_some_and(|limit_ms| wait_ms > limit_ms);
        if is_closed {
            let value = ClosedQueue {
                served_at: now.wall.after(Duration::from_millis(wait_ms)),
                opens_at: now.wall.after(Duration::from_millis(
                    wait_ms.saturating_sub(open_ms.unwrap_or(0)),
                )),
            };
            self.set_closed(of, value, now.boot);
        } else {
            self.closed.remove(of);
        }
        (is_closed != was_closed).then(|| QueueChange {
            of: of.clone(),
            state: if is_closed {
                QueueState::Closed
            } else {
                QueueState::Open
            },
            wait: Duration::from_millis(wait_ms),
            longest_wait: queue.longest_wait_ms.map(Duration::from_millis),
        })
    }

    /// Notes that a queue is closed. The times that were given out stay while they are about right.
    fn set_closed(&mut self, of: &OrganisationQueue, value: ClosedQueue, now: BootTime) {
        if let Some(closure) = self.closed.get(of) {
            let earlier = closure.value.opens_at.min(value.opens_at);
            let later = closure.value.opens_at.max(value.opens_at);
            let is_right = later.since(earlier) <= CORRECTION;
            if is_right || !closure.valued_at.after(CORRECTION).is_past(now) {
                return;
            }
        }
        let valued_at = now;
        self.closed.insert(of.clone(), Closure { value, valued_at });
    }

    fn count(&mut self, of: &OrganisationQueue, wait_ms: u64) {
        let is_closed = self.closed.contains_key(of);
        let backlog = self.backlogs.entry(of.queue.clone()).or_default();
        backlog.longest = backlog.longest.max(Duration::from_millis(wait_ms));
        backlog.closed += usize::from(is_closed);
    }
}
