use super::{
    SlotPermit,
    waiter::{SlotResult, Waiter},
};
use crate::Runner;
use lycheeyard_policy::{
    Admission, Allowance, Grant, QueueDecision, QueueLimits, RunnerSlots, SlotLoan, SlotRefusal,
    SlotScheduler, WaiterKey,
};
use lycheeyard_protocol::{OrganisationId, ServiceId};
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::oneshot,
    time::{Instant, timeout_at},
};

type Sender = oneshot::Sender<SlotResult>;

#[derive(Debug)]
struct State {
    scheduler: SlotScheduler<Sender>,
    runners: BTreeMap<ServiceId, Vec<Option<Arc<Runner>>>>,
}

/// What asking for a slot came to.
enum Asked {
    Decided(SlotResult),
    Wait(WaiterKey, oneshot::Receiver<SlotResult>, Duration),
}

/// The slots that this instance may use, and the requests that wait for them.
#[derive(Clone, Debug)]
pub(crate) struct SlotTable {
    state: Arc<Mutex<State>>,
    origin: Instant,
}

impl Default for SlotTable {
    fn default() -> Self {
        let state = State {
            scheduler: SlotScheduler::new(QueueLimits::default()),
            runners: BTreeMap::new(),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            origin: Instant::now(),
        }
    }
}

impl SlotTable {
    /// Replaces what the organisations may use.
    pub fn set_allowances(&self, allowances: &BTreeMap<OrganisationId, Allowance>) {
        let now = self.now();
        self.lock().scheduler.set_allowances(allowances, now);
    }

    /// Replaces the runners of a service that take new work.
    pub fn set_runners(&self, service: &ServiceId, runners: Vec<(Arc<Runner>, RunnerSlots)>) {
        let now = self.now();
        let (handles, slots): (Vec<_>, Vec<_>) = runners.into_iter().unzip();
        let mut state = self.lock();
        let State { scheduler, runners } = &mut *state;
        let set = scheduler.runners_mut(service);
        set.update(slots, now);
        let known = runners.entry(service.clone()).or_default();
        for handle in handles {
            if let Some(position) = set.position(&handle.id, handle.incarnation) {
                if known.len() <= position {
                    known.resize(position + 1, None);
                }
                known[position] = Some(handle);
            }
        }
        drop(state);
        self.dispatch(service);
    }

    /// Ends loans and pauses whose time has come, and lets waiting requests start.
    pub fn refresh(&self) {
        let now = self.now();
        let services = self.lock().scheduler.services();
        for service in &services {
            self.lock().scheduler.runners_mut(service).refresh(now);
            self.dispatch(service);
        }
    }

    /// Counts a new request against its organisation's rate.
    ///
    /// # Errors
    /// Fails when the organisation is over its rate.
    pub fn accept(&self, organisation: &OrganisationId) -> Result<(), SlotRefusal> {
        let now = self.now();
        self.lock().scheduler.accept(organisation, now)
    }

    /// Waits for a slot, until the deadline can no longer be met at most.
    ///
    /// # Errors
    /// Fails as soon as it is clear that there will be no slot in time.
    pub async fn take(
        &self,
        service: &ServiceId,
        organisation: &OrganisationId,
        deadline: Instant,
        avoid: Option<usize>,
    ) -> SlotResult {
        let (key, rx, needed) = match self.ask(service, organisation, deadline, avoid) {
            Asked::Decided(result) => return result,
            Asked::Wait(key, rx, needed) => (key, rx, needed),
        };
        let mut waiter = Waiter {
            table: self,
            service,
            key,
            rx,
        };
        let give_up_at = deadline.checked_sub(needed).unwrap_or(deadline);
        match timeout_at(give_up_at, &mut waiter.rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(SlotRefusal::NoRunner),
            Err(_) => Err(SlotRefusal::TooLate {
                retry_after: needed,
            }),
        }
    }

    fn ask(
        &self,
        service: &ServiceId,
        organisation: &OrganisationId,
        deadline: Instant,
        avoid: Option<usize>,
    ) -> Asked {
        let (tx, rx) = oneshot::channel();
        let now = self.now();
        let due = deadline.saturating_duration_since(self.origin);
        let mut state = self.lock();
        let scheduler = &mut state.scheduler;
        let (admission, displaced) = scheduler.request(service, organisation, due, avoid, now, tx);
        let needed = scheduler.required_time(service);
        let asked = match admission {
            Admission::Start(grant) => {
                let permit = state.permit(&grant, self);
                Asked::Decided(permit.ok_or(SlotRefusal::NoRunner))
            }
            Admission::Refuse(refusal) => Asked::Decided(Err(refusal)),
            Admission::Wait(key) => Asked::Wait(key, rx, needed),
        };
        drop(state);
        Self::deliver(displaced.map(|next| (next, None)));
        asked
    }

    /// The smoothed time of an answer of a service.
    pub fn latency(&self, service: &ServiceId) -> Duration {
        self.lock().scheduler.latency(service)
    }

    /// The number of requests that wait, by service.
    pub fn waiting(&self) -> BTreeMap<ServiceId, usize> {
        let state = self.lock();
        let services = state.scheduler.services();
        let waiting = services.into_iter().map(|service| {
            let count = state.scheduler.waiting(&service);
            (service, count)
        });
        waiting.filter(|(_, count)| *count > 0).collect()
    }

    /// Requests running and accepted since the last call, by organisation.
    pub fn take_usage(&self) -> BTreeMap<OrganisationId, (u32, u32)> {
        self.lock().scheduler.take_usage()
    }

    /// Lends free slots until `until`.
    pub fn lend(&self, service: &ServiceId, wanted: u32, until: Instant) -> Vec<SlotLoan> {
        let now = self.now();
        let until = until.saturating_duration_since(self.origin);
        let mut state = self.lock();
        if state.scheduler.waiting(service) > 0 {
            return Vec::new();
        }
        state
            .scheduler
            .runners_mut(service)
            .lend(wanted, until, now)
    }

    /// Takes slots on loan.
    pub fn borrow(&self, service: &ServiceId, loans: Vec<SlotLoan>) {
        let now = self.now();
        self.lock()
            .scheduler
            .runners_mut(service)
            .borrow(loans, now);
        self.dispatch(service);
    }

    /// A time on the clock of loans.
    pub fn clock(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    /// Sends no new work to a runner for a while.
    pub fn pause(&self, grant: &Grant, pause: Duration) {
        let now = self.now();
        let mut state = self.lock();
        let set = state.scheduler.runners_mut(&grant.service);
        set.pause(grant.runner, now + pause, now);
    }

    /// Gives a slot back.
    pub fn release(&self, grant: &Grant, latency: Option<Duration>) {
        self.lock().scheduler.release(grant, latency);
        self.dispatch(&grant.service);
    }

    /// Takes a request out of the queue.
    pub fn cancel(&self, service: &ServiceId, key: &WaiterKey) {
        let cancelled = self.lock().scheduler.cancel(service, key);
        drop(cancelled);
    }

    fn dispatch(&self, service: &ServiceId) {
        let now = self.now();
        loop {
            let mut state = self.lock();
            let Some(next) = state.scheduler.next_decision(service, now) else {
                return;
            };
            let permit = match &next {
                QueueDecision::Start(_, grant) => state.permit(grant, self),
                QueueDecision::Refuse(..) => None,
            };
            drop(state);
            Self::deliver(Some((next, permit)));
        }
    }

    /// Tells a waiting request; a permit that nobody takes any more is given back by its drop.
    fn deliver(next: Option<(QueueDecision<Sender>, Option<SlotPermit>)>) {
        match next {
            Some((QueueDecision::Start(tx, _), Some(permit))) => drop(tx.send(Ok(permit))),
            Some((QueueDecision::Refuse(tx, refusal), _)) => drop(tx.send(Err(refusal))),
            Some((QueueDecision::Start(..), None)) | None => {}
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn permit(&self, grant: &Grant, table: &SlotTable) -> Option<SlotPermit> {
        let runner = self
            .runners
            .get(&grant.service)?
            .get(grant.runner)?
            .clone()?;
        Some(SlotPermit::new(runner, grant.clone(), table.clone()))
    }
}
