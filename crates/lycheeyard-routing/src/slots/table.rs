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

type ResultSender = oneshot::Sender<SlotResult>;

#[derive(Debug)]
struct State {
    scheduler: SlotScheduler<ResultSender>,
    runners: BTreeMap<ServiceId, Vec<Option<Arc<Runner>>>>,
}

/// The outcome of a request for a slot.
enum RequestOutcome {
    Decided(SlotResult),
    Wait(WaiterKey, oneshot::Receiver<SlotResult>, Duration),
}

/// The slots that this instance may use and the queue of requests for them.
///
/// The scheduler's times are measured from `origin`.
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
    /// Replaces the limits of all organisations.
    pub fn set_allowances(&self, allowances: &BTreeMap<OrganisationId, Allowance>) {
        let now = self.now();
        self.lock().scheduler.set_allowances(allowances, now);
    }

    /// Sets whether the data centre is evacuated; if it is, all waiting requests are rejected.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        let mut state = self.lock();
        state.scheduler.set_evacuated(is_evacuated);
        let services = state.scheduler.services();
        drop(state);
        if is_evacuated {
            for service in &services {
                self.process_queue(service);
            }
        }
    }

    /// Returns the number of requests that have a slot.
    pub fn in_flight(&self) -> u32 {
        self.lock().scheduler.in_flight()
    }

    /// Replaces the runners of a service that accept new requests.
    pub fn set_runners(&self, service: &ServiceId, runners: Vec<(Arc<Runner>, RunnerSlots)>) {
        let now = self.now();
        let (runner_handles, slots): (Vec<_>, Vec<_>) = runners.into_iter().unzip();
        let mut state = self.lock();
        let State { scheduler, runners } = &mut *state;
        let runner_set = scheduler.runners_mut(service);
        runner_set.update(slots, now);
        let by_position = runners.entry(service.clone()).or_default();
        for runner in runner_handles {
            if let Some(position) = runner_set.position(&runner.id, runner.incarnation) {
                if by_position.len() <= position {
                    by_position.resize(position + 1, None);
                }
                by_position[position] = Some(runner);
            }
        }
        drop(state);
        self.process_queue(service);
    }

    /// Ends expired loans and pauses, and starts waiting requests.
    pub fn refresh(&self) {
        let now = self.now();
        let services = self.lock().scheduler.services();
        for service in &services {
            self.lock().scheduler.runners_mut(service).refresh(now);
            self.process_queue(service);
        }
    }

    /// Counts a new request against its organisation's rate limit.
    ///
    /// # Errors
    /// Returns an error if the organisation is over its rate limit.
    pub fn accept(&self, organisation: &OrganisationId) -> Result<(), SlotRefusal> {
        let now = self.now();
        self.lock().scheduler.accept(organisation, now)
    }

    /// Waits for a slot, at most until the deadline can no longer be met.
    ///
    /// # Errors
    /// Returns an error as soon as no slot can be expected in time.
    pub async fn acquire(
        &self,
        service: &ServiceId,
        organisation: &OrganisationId,
        deadline: Instant,
        avoid: Option<usize>,
    ) -> SlotResult {
        let (key, rx, needed) = match self.request(service, organisation, deadline, avoid) {
            RequestOutcome::Decided(result) => return result,
            RequestOutcome::Wait(key, rx, needed) => (key, rx, needed),
        };
        let mut waiter = Waiter {
            table: self,
            service,
            key,
            rx,
        };
        let latest_start = deadline.checked_sub(needed).unwrap_or(deadline);
        match timeout_at(latest_start, &mut waiter.rx).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(SlotRefusal::NoRunner),
            Err(_) => Err(SlotRefusal::TooLate {
                retry_after: needed,
            }),
        }
    }

    fn request(
        &self,
        service: &ServiceId,
        organisation: &OrganisationId,
        deadline: Instant,
        avoid: Option<usize>,
    ) -> RequestOutcome {
        let (tx, rx) = oneshot::channel();
        let now = self.now();
        let due = deadline.saturating_duration_since(self.origin);
        let mut state = self.lock();
        let scheduler = &mut state.scheduler;
        let (admission, displaced) = scheduler.request(service, organisation, due, avoid, now, tx);
        let needed = scheduler.required_time(service);
        let outcome = match admission {
            Admission::Start(grant) => {
                let permit = state.permit(&grant, self);
                RequestOutcome::Decided(permit.ok_or(SlotRefusal::NoRunner))
            }
            Admission::Refuse(refusal) => RequestOutcome::Decided(Err(refusal)),
            Admission::Wait(key) => RequestOutcome::Wait(key, rx, needed),
        };
        drop(state);
        Self::deliver(displaced.map(|next| (next, None)));
        outcome
    }

    /// Returns the smoothed response time of a service.
    pub fn latency(&self, service: &ServiceId) -> Duration {
        self.lock().scheduler.latency(service)
    }

    /// Returns the number of waiting requests by service; services without any are omitted.
    pub fn waiting(&self) -> BTreeMap<ServiceId, usize> {
        let state = self.lock();
        let services = state.scheduler.services();
        let waiting = services.into_iter().map(|service| {
            let count = state.scheduler.waiting(&service);
            (service, count)
        });
        waiting.filter(|(_, count)| *count > 0).collect()
    }

    /// Returns, by organisation, the requests running now and those accepted since the last call.
    pub fn take_usage(&self) -> BTreeMap<OrganisationId, (u32, u32)> {
        self.lock().scheduler.take_usage()
    }

    /// Lends free slots until `until`; none while local requests wait.
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

    /// Adds slots that a peer lends.
    pub fn borrow(&self, service: &ServiceId, loans: Vec<SlotLoan>) {
        let now = self.now();
        self.lock()
            .scheduler
            .runners_mut(service)
            .borrow(loans, now);
        self.process_queue(service);
    }

    /// Converts an instant into the scheduler's time, which loans use.
    pub fn since_origin(&self, at: Instant) -> Duration {
        at.saturating_duration_since(self.origin)
    }

    /// Sends no new requests to a runner for the duration of `pause`.
    pub fn pause(&self, grant: &Grant, pause: Duration) {
        let now = self.now();
        let mut state = self.lock();
        let runner_set = state.scheduler.runners_mut(&grant.service);
        runner_set.pause(grant.runner, now + pause, now);
    }

    /// Releases a slot, with the response time if there was an answer.
    pub fn release(&self, grant: &Grant, latency: Option<Duration>) {
        self.lock().scheduler.release(grant, latency);
        self.process_queue(&grant.service);
    }

    /// Removes a request from the queue.
    pub fn cancel(&self, service: &ServiceId, key: &WaiterKey) {
        let cancelled = self.lock().scheduler.cancel(service, key);
        drop(cancelled);
    }

    fn process_queue(&self, service: &ServiceId) {
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

    /// Sends the decision to a waiting request; if the request no longer waits, the permit is dropped, which releases
    /// the slot.
    fn deliver(next: Option<(QueueDecision<ResultSender>, Option<SlotPermit>)>) {
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
