use super::{
    Summary,
    draw::{exponential, parsed},
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
const SLOTS: u32 = 8;
const MEAN_SERVICE: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(20);
const DEADLINE: Duration = Duration::from_millis(100);
const MAX_TRIES: u32 = 3;
/// Each of the modest organisations sends this part of the capacity.
const MODEST_PART: f64 = 0.05;

/// How requests beyond the capacity are treated.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum OverloadPolicy {
    /// First come, first served; each request is tried three times.
    FifoRetries,
    /// Fair queue with early refusal; each failed request is tried three times.
    FairRetries,
    /// Fair queue with early refusal; retries draw on the budget.
    FairBudget,
    /// As above, and a second try is started for every request that takes longer than twice the mean.
    FairHedged,
}

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct OverloadResult {
    /// Requests answered within their deadline.
    pub good: u32,
    /// Requests of the organisations within their limits.
    pub modest: u32,
    /// Those of them that were answered within their deadline.
    pub modest_good: u32,
    /// Tries at runners.
    pub tries: u32,
    /// Completion times of the requests that were answered in time.
    pub times: Summary,
}

impl OverloadResult {
    /// Requests answered in time, a second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        f64::from(self.good) / LENGTH.as_secs_f64()
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    number: usize,
    arrived: Duration,
    sent: Duration,
    modest: bool,
    tried: u32,
}

enum Event {
    Arrival { modest: bool },
    Finished(Job, Grant),
    Hedge(Job),
}

struct Sim {
    policy: OverloadPolicy,
    lost: f64,
    rng: SmallRng,
    events: EventQueue<Event>,
    scheduler: SlotScheduler<Job>,
    fifo: VecDeque<Job>,
    free: u32,
    budget: RetryBudget,
    answered: Vec<bool>,
    service: ServiceId,
    flood: OrganisationId,
    modest: OrganisationId,
    result: OverloadResult,
}

/// Runs one instance with all slots in virtual time; `load` is the offered part of the runners'
/// capacity and `lost` the part of the answers that are lost.
#[must_use]
pub fn run_overload(policy: OverloadPolicy, load: f64, lost: f64, seed: u64) -> OverloadResult {
    let mut sim = Sim::new(policy, lost, seed);
    let capacity = f64::from(RUNNERS * SLOTS) / MEAN_SERVICE.as_secs_f64();
    let modest = capacity * MODEST_PART;
    let flood = capacity * load - modest;
    sim.events
        .push(Duration::ZERO, Event::Arrival { modest: true });
    sim.events
        .push(Duration::ZERO, Event::Arrival { modest: false });
    sim.run(modest, flood);
    sim.result
}

impl Sim {
    fn new(policy: OverloadPolicy, lost: f64, seed: u64) -> Self {
        let service: ServiceId = parsed("lookups");
        let flood: OrganisationId = parsed("flood");
        let modest: OrganisationId = parsed("modest");
        let allowance = Allowance {
            concurrency: u32::MAX,
            rate: u32::MAX,
            weight: 1,
        };
        let both = BTreeMap::from([(flood.clone(), allowance), (modest.clone(), allowance)]);
        let mut scheduler = SlotScheduler::new(QueueLimits::default());
        scheduler.set_allowances(&both, Duration::ZERO);
        let runners = (0..RUNNERS).map(|number| RunnerSlots {
            id: parsed(&format!("u{number}")),
            incarnation: Incarnation(1),
            share: SLOTS,
            max_in_flight: SLOTS,
        });
        let runners = runners.collect();
        scheduler
            .runners_mut(&service)
            .update(runners, Duration::ZERO);
        Self {
            policy,
            lost,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::default(),
            scheduler,
            fifo: VecDeque::new(),
            free: RUNNERS * SLOTS,
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
                Event::Arrival { modest } => {
                    let rate = if modest { modest_rate } else { flood_rate };
                    let gap = exponential(&mut self.rng, 1.0 / rate);
                    if now + gap < LENGTH {
                        self.events.push(now + gap, Event::Arrival { modest });
                    }
                    self.arrive(now, modest);
                }
                Event::Finished(job, grant) => self.finish(now, job, &grant),
                Event::Hedge(job) => {
                    if !self.answered[job.number] {
                        self.ask(now, job);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now: Duration, modest: bool) {
        self.answered.push(false);
        self.result.modest += u32::from(modest);
        self.budget.deposit();
        let job = Job {
            number: self.answered.len() - 1,
            arrived: now,
            sent: now,
            modest,
            tried: 0,
        };
        self.ask(now, job);
    }

    fn ask(&mut self, now: Duration, job: Job) {
        if self.policy == OverloadPolicy::FifoRetries {
            self.fifo.push_back(job);
            self.dispatch_fifo(now);
            return;
        }
        let organisation = if job.modest {
            &self.modest
        } else {
            &self.flood
        };
        let deadline = job.arrived + DEADLINE;
        let asked = self
            .scheduler
            .request(&self.service, organisation, deadline, None, now, job);
        if let Admission::Start(grant) = asked.0 {
            self.begin(now, job, grant);
        }
    }

    fn begin(&mut self, now: Duration, job: Job, grant: Grant) {
        self.result.tries += 1;
        let took = exponential(&mut self.rng, MEAN_SERVICE.as_secs_f64());
        let sent = Job { sent: now, ..job };
        self.events.push(now + took, Event::Finished(sent, grant));
        if self.policy == OverloadPolicy::FairHedged && job.tried == 0 {
            let second = Job { tried: 1, ..job };
            self.events
                .push(now + MEAN_SERVICE * 2, Event::Hedge(second));
        }
    }

    fn dispatch_fifo(&mut self, now: Duration) {
        while self.free > 0
            && let Some(job) = self.fifo.pop_front()
        {
            self.free -= 1;
            let grant = Grant {
                service: self.service.clone(),
                organisation: self.flood.clone(),
                runner: 0,
            };
            self.begin(now, job, grant);
        }
    }

    fn finish(&mut self, now: Duration, job: Job, grant: &Grant) {
        let lost = self.rng.random_bool(self.lost);
        let in_time = now <= job.arrived + DEADLINE;
        if !lost && in_time && !self.answered[job.number] {
            self.answered[job.number] = true;
            self.result.good += 1;
            self.result.modest_good += u32::from(job.modest);
            self.result.times.record(now.saturating_sub(job.arrived));
        }
        if self.policy == OverloadPolicy::FifoRetries {
            self.free += 1;
        } else {
            let took = now.saturating_sub(job.sent);
            self.scheduler.release(grant, Some(took));
        }
        if !self.answered[job.number] && self.may_retry(job, in_time) {
            let next = Job {
                tried: job.tried + 1,
                ..job
            };
            self.ask(now, next);
        }
        self.dispatch(now);
    }

    /// A caller that is served first come, first served comes again also after its deadline.
    fn may_retry(&mut self, job: Job, in_time: bool) -> bool {
        let tries_left = job.tried + 1 < MAX_TRIES;
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
            if let QueueDecision::Start(job, grant) = next {
                self.begin(now, job, grant);
            }
        }
    }
}
