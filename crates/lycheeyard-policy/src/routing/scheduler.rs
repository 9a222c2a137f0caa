use super::{
    Admission, Allowance, FairQueue, Grant, QueueDecision, QueueLimits, RunnerSet, SlotRefusal,
    WaiterKey,
    latency::Latency,
    organisation::{OrganisationTable, OrganisationUsage, set_allowances},
};
use lycheeyard_protocol::{OrganisationId, ServiceId};
use std::{collections::BTreeMap, time::Duration};

#[derive(Clone, Debug)]
struct ServiceQueue<T> {
    runners: RunnerSet,
    queue: FairQueue<T>,
    latency: Latency,
}

impl<T> Default for ServiceQueue<T> {
    fn default() -> Self {
        Self {
            runners: RunnerSet::default(),
            queue: FairQueue::default(),
            latency: Latency::default(),
        }
    }
}

/// Assigns slots to requests, and queues or rejects the requests that get none.
///
/// `now` is the time since an arbitrary origin that is the same for all calls; deadlines use the same clock.
#[derive(Clone, Debug)]
pub struct SlotScheduler<T> {
    limits: QueueLimits,
    organisations: OrganisationTable,
    services: BTreeMap<ServiceId, ServiceQueue<T>>,
    is_evacuated: bool,
}

impl<T> SlotScheduler<T> {
    /// Creates a scheduler without organisations and runners.
    #[must_use]
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            organisations: OrganisationTable::new(),
            services: BTreeMap::new(),
            is_evacuated: false,
        }
    }

    /// Replaces the limits of all organisations.
    pub fn set_allowances(
        &mut self,
        allowances: &BTreeMap<OrganisationId, Allowance>,
        now: Duration,
    ) {
        set_allowances(&mut self.organisations, allowances, now);
    }

    /// Sets whether the data centre is evacuated. While it is, new and waiting requests are rejected; those that have a
    /// slot keep it.
    pub fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
    }

    /// Returns the number of requests that have a slot.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        let loads = self
            .services
            .values()
            .flat_map(|entry| entry.runners.loads());
        loads.map(|load| load.in_flight).sum()
    }

    /// Returns the runners of a service, which is added if it is new.
    pub fn runners_mut(&mut self, service: &ServiceId) -> &mut RunnerSet {
        &mut self.queue_of(service).runners
    }

    /// Returns the services that have been given runners or requests.
    #[must_use]
    pub fn services(&self) -> Vec<ServiceId> {
        self.services.keys().cloned().collect()
    }

    /// Returns the smoothed response time of a service.
    #[must_use]
    pub fn latency(&self, service: &ServiceId) -> Duration {
        self.services
            .get(service)
            .map_or_else(|| Latency::default().mean(), |queue| queue.latency.mean())
    }

    /// Returns the time that must remain until the deadline when a request of a service starts.
    #[must_use]
    pub fn required_time(&self, service: &ServiceId) -> Duration {
        self.services.get(service).map_or_else(
            || Latency::default().required_time(),
            |queue| queue.latency.required_time(),
        )
    }

    /// Returns the number of requests that wait for a service.
    #[must_use]
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |s| s.queue.len())
    }

    /// Returns, by organisation, the requests running now and those accepted since the last call.
    pub fn take_usage(&mut self) -> BTreeMap<OrganisationId, (u32, u32)> {
        let organisations = self.organisations.iter_mut();
        organisations
            .filter(|(_, usage)| usage.running > 0 || usage.accepted > 0)
            .map(|(id, usage)| {
                (
                    id.clone(),
                    (usage.running, std::mem::take(&mut usage.accepted)),
                )
            })
            .collect()
    }

    /// Counts a new request of an organisation against its rate limit.
    ///
    /// # Errors
    /// Returns [`SlotRefusal::OverRate`] if the organisation is over its rate limit.
    pub fn accept(
        &mut self,
        organisation: &OrganisationId,
        now: Duration,
    ) -> Result<(), SlotRefusal> {
        let Some(usage) = self.organisations.get_mut(organisation) else {
            return Ok(());
        };
        usage
            .take_token(now)
            .map_err(|retry_after| SlotRefusal::OverRate { retry_after })
    }

    /// Requests a slot; the runner at `avoid` is used only if there is no other.
    ///
    /// If the queue was full, the second value is the waiting request that was displaced.
    pub fn request(
        &mut self,
        service: &ServiceId,
        organisation: &OrganisationId,
        deadline: Duration,
        avoid: Option<usize>,
        now: Duration,
        item: T,
    ) -> (Admission, Option<QueueDecision<T>>) {
        if self.is_evacuated {
            return (Admission::Refuse(SlotRefusal::Evacuated), None);
        }
        let may_run = self
            .organisations
            .get(organisation)
            .is_none_or(OrganisationUsage::may_run);
        let entry = self.queue_of(service);
        if !entry.runners.has_open() {
            return (Admission::Refuse(SlotRefusal::NoRunner), None);
        }
        if may_run
            && entry.queue.is_empty()
            && let Some(runner) = entry.runners.take(avoid)
        {
            return (
                Admission::Start(self.start_request(service, organisation, runner)),
                None,
            );
        }
        let (start_in, needed) = self.estimate(service, organisation);
        let retry_after = start_in;
        if now + start_in + needed > deadline {
            return (
                Admission::Refuse(SlotRefusal::TooLate { retry_after }),
                None,
            );
        }
        let limit = self.limits.waiting;
        let entry = self.queue_of(service);
        let key = entry.queue.push(organisation.clone(), deadline, item);
        if entry.queue.len() <= limit {
            return (Admission::Wait(key), None);
        }
        let refusal = SlotRefusal::QueueFull { retry_after };
        let displaced = entry.queue.pop_from_longest_lane();
        (
            Admission::Wait(key),
            displaced.map(|item| QueueDecision::Refuse(item, refusal)),
        )
    }

    /// Returns the next waiting request that can start or has to be rejected; call until it returns `None`.
    pub fn next_decision(
        &mut self,
        service: &ServiceId,
        now: Duration,
    ) -> Option<QueueDecision<T>> {
        let entry = self.services.get_mut(service)?;
        if entry.queue.is_empty() {
            return None;
        }
        if self.is_evacuated {
            let item = entry.queue.pop_from_longest_lane()?;
            return Some(QueueDecision::Refuse(item, SlotRefusal::Evacuated));
        }
        if let Some(item) = entry.queue.pop_due_by(now + entry.latency.required_time()) {
            let retry_after = entry.latency.mean();
            return Some(QueueDecision::Refuse(
                item,
                SlotRefusal::TooLate { retry_after },
            ));
        }
        if !entry.runners.has_open() {
            let item = entry.queue.pop_from_longest_lane()?;
            return Some(QueueDecision::Refuse(item, SlotRefusal::NoRunner));
        }
        if entry.runners.free() == 0 {
            return None;
        }
        let (organisation, item) = entry.queue.pop_next(&self.organisations)?;
        let runner = entry.runners.take(None)?;
        Some(QueueDecision::Start(
            item,
            self.start_request(service, &organisation, runner),
        ))
    }

    /// Removes a request that no longer waits.
    pub fn cancel(&mut self, service: &ServiceId, key: &WaiterKey) -> Option<T> {
        self.services.get_mut(service)?.queue.remove(key)
    }

    /// Releases a slot and records the response time, if there was a response.
    pub fn release(&mut self, grant: &Grant, latency: Option<Duration>) {
        if let Some(usage) = self.organisations.get_mut(&grant.organisation) {
            usage.running = usage.running.saturating_sub(1);
        }
        let entry = self.queue_of(&grant.service);
        entry.runners.release(grant.runner, latency);
        if let Some(latency) = latency {
            entry.latency.record(latency);
        }
    }

    fn start_request(
        &mut self,
        service: &ServiceId,
        organisation: &OrganisationId,
        runner: usize,
    ) -> Grant {
        let min_pass = self.queue_of(service).queue.pass();
        if let Some(usage) = self.organisations.get_mut(organisation) {
            let served_at = usage.pass.max(min_pass);
            usage.start_request(min_pass);
            self.queue_of(service).queue.advance(served_at);
        }
        Grant {
            service: service.clone(),
            organisation: organisation.clone(),
            runner,
        }
    }

    /// Estimates the wait until a new request of the organisation starts, and the time that its response then needs.
    fn estimate(&self, service: &ServiceId, organisation: &OrganisationId) -> (Duration, Duration) {
        let Some(entry) = self.services.get(service) else {
            return (Duration::ZERO, Duration::ZERO);
        };
        let allowance_of =
            |id: &OrganisationId| self.organisations.get(id).map(|usage| usage.allowance);
        let Some(own) = allowance_of(organisation) else {
            return (Duration::ZERO, entry.latency.required_time());
        };
        let others = entry.queue.organisations().filter(|id| *id != organisation);
        let weights: u32 = others
            .filter_map(allowance_of)
            .map(|allowance| allowance.weight)
            .sum();
        let weight = own.weight.max(1);
        let slots = entry.runners.slots() * weight / (weights + weight);
        let slots = slots.clamp(1, own.concurrency.max(1));
        let ahead = u32::try_from(entry.queue.len_of(organisation)).unwrap_or(u32::MAX);
        let rounds = f64::from(ahead.saturating_add(1)) / f64::from(slots);
        (
            entry.latency.mean().mul_f64(rounds),
            entry.latency.required_time(),
        )
    }

    fn queue_of(&mut self, service: &ServiceId) -> &mut ServiceQueue<T> {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceQueue::default());
        }
        self.services
            .get_mut(service)
            .unwrap_or_else(|| unreachable!("the service was inserted above"))
    }
}
