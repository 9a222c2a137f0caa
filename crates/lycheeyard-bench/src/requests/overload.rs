use super::{
    CompletionTimes,
    draw::{draw_exponential, parse_name},
    events::EventQueue,
};
use lycheeyard_policy::{
    Admission, Allowance, Grant, QueueDecision, QueueLimits, RetryBudget, RunnerSlots,
    SlotScheduler,
};
use lycheeyard_protocol::{Incarnation, OrganisationId, ServiceId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};
use strum::{Display, EnumIter};

const RUNNERS: u32 = 12;
const SLOTS_PER_RUNNER: u32 = 8;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(5);
const DURATION: Duration = Duration::from_secs(20);
const DEADLINE: Duration = Duration::from_millis(100);
const MAX_TRIES: u32 = 3;
/// The modest organisation, which stays within its limits, sends this share of the capacity.
const MODEST_SHARE: f64 = 0.05;

/// How an instance handles requests beyond the capacity.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum OverloadPolicy {
    /// First come, first served; a failed request is tried up to three times, also after its deadline.
    FifoRetries,
    /// Fair queue with early rejection; a failed request is tried up to three times before its deadline.
    FairRetries,
    /// Fair queue with early rejection; retries are limited by the retry budget.
    FairBudget,
    /// Like `FairBudget`, and a hedged second try starts for every request that takes longer than twice the mean.
    FairHedged,
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct OverloadResult {
    /// Requests answered within their deadline.
    pub good: u32,
    /// Requests of the modest organisation, which stays within its limits.
    pub modest: u32,
    /// Requests of the modest organisation that were answered within their deadline.
    pub modest_good: u32,
    /// Tries that were sent to runners.
    pub tries: u32,
    /// Completion times of the requests that were answered in time.
    pub times: CompletionTimes,
}

impl OverloadResult {
    /// Requests answered within their deadline, per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        f64::from(self.good) / DURATION.as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    number: usize,
    arrived_at: Duration,
    sent_at: Duration,
    is_modest: bool,
    tries: u32,
}

enum Event {
    Arrival { is_modest: bool },
    Finished(Request, Grant),
    Hedge(Request),
}

struct OverloadSimulation {
    policy: OverloadPolicy,
    loss_rate: f64,
    rng: SmallRng,
    events: EventQueue<Event>,
    scheduler: SlotScheduler<Request>,
    fifo: VecDeque<Request>,
    free_slots: u32,
    budget: RetryBudget,
    answered: Vec<bool>,
    service: ServiceId,
    flood: OrganisationId,
    modest: OrganisationId,
    result: OverloadResult,
}

/// Simulates one instance that owns all slots in virtual time.
///
/// `load` is the offered load as a share of the capacity of the runners, `loss_rate` the share of responses that are
/// lost.
#[must_use]
pub fn run_overload(
    policy: OverloadPolicy,
    load: f64,
    loss_rate: f64,
    seed: u64,
) -> OverloadResult {
    let mut simulation = OverloadSimulation::new(policy, loss_rate, seed);
    let capacity = f64::from(RUNNERS * SLOTS_PER_RUNNER) / MEAN_SERVICE_TIME.as_secs_f64();
    let modest_rate = capacity * MODEST_SHARE;
    let flood_rate = capacity * load - modest_rate;
    simulation
        .events
        .push(Duration::ZERO, Event::Arrival { is_modest: true });
    simulation
        .events
        .push(Duration::ZERO, Event::Arrival { is_modest: false });
    simulation.run(modest_rate, flood_rate);
    simulation.result
}

impl OverloadSimulation {
    fn new(policy: OverloadPolicy, loss_rate: f64, seed: u64) -> Self {
        let service: ServiceId = parse_name("lookups");
        let flood: OrganisationId = parse_name("flood");
        let modest: OrganisationId = parse_name("modest");
        let allowance = Allowance {
            concurrency: u32::MAX,
            rate: u32::MAX,
            weight: 1,
        };
        let allowances = BTreeMap::from([(flood.clone(), allowance), (modest.clone(), allowance)]);
        let mut scheduler = SlotScheduler::new(QueueLimits::default());
        scheduler.set_allowances(&allowances, Duration::ZERO);
        let runners = (0..RUNNERS).map(|number| RunnerSlots {
            id: parse_name(&format!("u{number}")),
            incarnation: Incarnation(1),
            share: SLOTS_PER_RUNNER,
            max_in_flight: SLOTS_PER_RUNNER,
        });
        let runners = runners.collect();
        scheduler
            .runners_mut(&service)
            .update(runners, Duration::ZERO);
        Self {
            policy,
            loss_rate,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::default(),
            scheduler,
            fifo: VecDeque::new(),
            free_slots: RUNNERS * SLOTS_PER_RUNNER,
            budget: RetryBudget::default(),
            answered: Vec::new(),
            service,
            flood,
            modest,
            result: OverloadResult::default(),
        }
    }

    fn run(&mut self, modest_rate: f64, flood_rate: f64) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Arrival { is_modest } => {
                    let rate = if is_modest { modest_rate } else { flood_rate };
                    let gap = draw_exponential(&mut self.rng, 1.0 / rate);
                    if now + gap < DURATION {
                        self.events.push(now + gap, Event::Arrival { is_modest });
                    }
                    self.handle_arrival(now, is_modest);
                }
                Event::Finished(request, grant) => self.finish_try(now, request, &grant),
                Event::Hedge(request) => {
                    if !self.answered[request.number] {
                        self.request_slot(now, request);
                    }
                }
            }
        }
    }

    fn handle_arrival(&mut self, now: Duration, is_modest: bool) {
        self.answered.push(false);
        self.result.modest += u32::from(is_modest);
        self.budget.deposit();
        let request = Request {
            number: self.answered.len() - 1,
            arrived_at: now,
            sent_at: now,
            is_modest,
            tries: 0,
        };
        self.request_slot(now, request);
    }

    fn request_slot(&mut self, now: Duration, request: Request) {
        if self.policy == OverloadPolicy::FifoRetries {
            self.fifo.push_back(request);
            self.dispatch_fifo(now);
            return;
        }
        let organisation = if request.is_modest {
            &self.modest
        } else {
            &self.flood
        };
        let deadline = request.arrived_at + DEADLINE;
        let admission =
            self.scheduler
                .request(&self.service, organisation, deadline, None, now, request);
        if let Admission::Start(grant) = admission.0 {
            self.start_try(now, request, grant);
        }
    }

    fn start_try(&mut self, now: Duration, request: Request, grant: Grant) {
        self.result.tries += 1;
        let service_time = draw_exponential(&mut self.rng, MEAN_SERVICE_TIME.as_secs_f64());
        let sent = Request {
            sent_at: now,
            ..request
        };
        self.events
            .push(now + service_time, Event::Finished(sent, grant));
        if self.policy == OverloadPolicy::FairHedged && request.tries == 0 {
            let second = Request {
                tries: 1,
                ..request
            };
            self.events
                .push(now + MEAN_SERVICE_TIME * 2, Event::Hedge(second));
        }
    }

    fn dispatch_fifo(&mut self, now: Duration) {
        while self.free_slots > 0
            && let Some(request) = self.fifo.pop_front()
        {
            self.free_slots -= 1;
            let grant = Grant {
                service: self.service.clone(),
                organisation: self.flood.clone(),
                runner: 0,
            };
            self.start_try(now, request, grant);
        }
    }

    fn finish_try(&mut self, now: Duration, request: Request, grant: &Grant) {
        let is_lost = self.rng.random_bool(self.loss_rate);
        let in_time = now <= request.arrived_at + DEADLINE;
        if !is_lost && in_time && !self.answered[request.number] {
            self.answered[request.number] = true;
            self.result.good += 1;
            self.result.modest_good += u32::from(request.is_modest);
            self.result
                .times
                .record(now.saturating_sub(request.arrived_at));
        }
        if self.policy == OverloadPolicy::FifoRetries {
            self.free_slots += 1;
        } else {
            let elapsed = now.saturating_sub(request.sent_at);
            self.scheduler.release(grant, Some(elapsed));
        }
        if !self.answered[request.number] && self.may_retry(request, in_time) {
            let next = Request {
                tries: request.tries + 1,
                ..request
            };
            self.request_slot(now, next);
        }
        self.dispatch(now);
    }

    /// Under `FifoRetries`, callers also retry after their deadline.
    fn may_retry(&mut self, request: Request, in_time: bool) -> bool {
        let tries_left = request.tries + 1 < MAX_TRIES;
        match self.policy {
            OverloadPolicy::FifoRetries => tries_left,
            OverloadPolicy::FairRetries => tries_left && in_time,
            OverloadPolicy::FairBudget | OverloadPolicy::FairHedged => {
                tries_left && in_time && self.budget.withdraw()
            }
        }
    }

    fn dispatch(&mut self, now: Duration) {
        if self.policy == OverloadPolicy::FifoRetries {
            self.dispatch_fifo(now);
            return;
        }
        while let Some(next) = self.scheduler.next_decision(&self.service, now) {
            if let QueueDecision::Start(request, grant) = next {
                self.start_try(now, request, grant);
            }
        }
    }
}
