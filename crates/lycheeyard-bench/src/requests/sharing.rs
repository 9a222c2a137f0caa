mod members;

use super::{
    Scenario, Sharing, Summary,
    draw::{exponential, parsed},
    events::EventQueue,
};
use lycheeyard_policy::{Admission, Allowance, Grant, QueueDecision, QueueLimits, SlotScheduler};
use lycheeyard_protocol::{OrganisationId, ServiceId};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

const RUNNERS: usize = 50;
const LENDERS: u32 = 8;
const TOTAL_SLOTS: f64 = 400.0;
const TOTAL_RUNNERS: f64 = 50.0;
const SLOTS: u32 = 8;
const INSTANCES: usize = 9;
const MEAN_SERVICE: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(30);
const HALF: Duration = Duration::from_secs(15);
const DEADLINE: Duration = Duration::from_secs(5);
const PULSE: Duration = Duration::from_millis(500);
const LOAN: Duration = Duration::from_millis(1200);
const LENDER_MARGIN: Duration = Duration::from_millis(300);
/// When the others see that an instance has died or come.
const NOTICE_DEATH: Duration = Duration::from_secs(3);
const NOTICE_NEWCOMER: Duration = Duration::from_secs(1);
const SLOW_FACTOR: f64 = 5.0;
const SKEWED_PART: f64 = 0.3;

/// What a run came to.
#[derive(Clone, Debug, Default)]
pub struct SharingResult {
    /// Completion times.
    pub times: Summary,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that died with their instance.
    pub lost: u64,
    /// The part of all runner time in which more requests were sent than there are slots, in percent.
    pub over_slots_percent: f64,
    /// The most requests that were at one runner at once; each takes a connection.
    pub peak_connections: u32,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    arrived: Duration,
    sent: Duration,
    instance: usize,
    runner: usize,
}

enum Event {
    Arrival,
    Finished(Job, Option<Grant>),
    Pulse,
    Members,
    Die,
}

#[derive(Default)]
struct SimRunner {
    running: u32,
    queue: VecDeque<(Job, Option<Grant>)>,
    over_since: Option<Duration>,
}

struct Sim {
    sharing: Sharing,
    scenario: Scenario,
    rng: SmallRng,
    events: EventQueue<Event>,
    instances: Vec<SlotScheduler<Duration>>,
    own: Vec<Vec<u32>>,
    alive: Vec<bool>,
    runners: Vec<SimRunner>,
    service: ServiceId,
    organisation: OrganisationId,
    over: Duration,
    result: SharingResult,
}

/// Runs one scenario in virtual time; `load` is the part of the runners' capacity that arrives.
///
/// # Panics
/// Never, since the names are valid.
#[must_use]
pub fn run_sharing(sharing: Sharing, scenario: Scenario, load: f64, seed: u64) -> SharingResult {
    let mut sim = Sim::new(sharing, scenario, seed);
    sim.events.push(Duration::ZERO, Event::Arrival);
    sim.events.push(PULSE, Event::Pulse);
    sim.update_members(Duration::ZERO);
    match scenario {
        Scenario::InstanceDies => {
            sim.events.push(HALF, Event::Die);
            sim.events.push(HALF + NOTICE_DEATH, Event::Members);
        }
        Scenario::InstanceAdded => {
            sim.events.push(HALF, Event::Members);
            sim.events.push(HALF + NOTICE_NEWCOMER, Event::Members);
        }
        Scenario::Even | Scenario::Skewed | Scenario::SlowRunner => {}
    }
    let per_second = TOTAL_SLOTS / MEAN_SERVICE.as_secs_f64() * load;
    sim.run(per_second);
    sim.result
}

impl Sim {
    fn new(sharing: Sharing, scenario: Scenario, seed: u64) -> Self {
        let organisation: OrganisationId = parsed("org-a");
        let allowance = Allowance {
            concurrency: u32::MAX,
            rate: u32::MAX,
            weight: 1,
        };
        let allowances = BTreeMap::from([(organisation.clone(), allowance)]);
        let mut instances = Vec::new();
        for _ in 0..INSTANCES {
            let mut scheduler = SlotScheduler::new(QueueLimits::default());
            scheduler.set_allowances(&allowances, Duration::ZERO);
            instances.push(scheduler);
        }
        let mut alive = vec![true; INSTANCES];
        alive[INSTANCES - 1] = scenario != Scenario::InstanceAdded;
        Self {
            sharing,
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::default(),
            instances,
            own: vec![vec![0; RUNNERS]; INSTANCES],
            alive,
            runners: (0..RUNNERS).map(|_| SimRunner::default()).collect(),
            service: parsed("lookups"),
            organisation,
            over: Duration::ZERO,
            result: SharingResult::default(),
        }
    }

    fn run(&mut self, per_second: f64) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Arrival => {
                    let gap = exponential(&mut self.rng, 1.0 / per_second);
                    if now + gap < LENGTH {
                        self.events.push(now + gap, Event::Arrival);
                    }
                    self.arrive(now);
                }
                Event::Finished(job, grant) => self.finish(now, job, grant),
                Event::Pulse => {
                    if now < LENGTH {
                        self.events.push(now + PULSE, Event::Pulse);
                        self.pulse(now);
                    }
                }
                Event::Members => {
                    if self.scenario == Scenario::InstanceAdded {
                        self.alive[INSTANCES - 1] = true;
                    }
                    self.update_members(now);
                }
                Event::Die => self.alive[0] = false,
            }
        }
        let total = LENGTH.as_secs_f64() * TOTAL_RUNNERS;
        self.result.over_slots_percent = self.over.as_secs_f64() / total * 100.0;
    }

    fn arrive(&mut self, now: Duration) {
        let instance = self.pick_instance();
        if self.sharing == Sharing::PowerOfTwo {
            let runner = self.pick_of_two(instance);
            self.own[instance][runner] += 1;
            let job = Job {
                arrived: now,
                sent: now,
                instance,
                runner,
            };
            self.send(now, job, None);
            return;
        }
        let scheduler = &mut self.instances[instance];
        let deadline = now + DEADLINE;
        let asked = scheduler.request(&self.service, &self.organisation, deadline, None, now, now);
        self.result.refused += u64::from(asked.1.is_some());
        match asked.0 {
            Admission::Start(grant) => {
                let job = Job {
                    arrived: now,
                    sent: now,
                    instance,
                    runner: grant.runner,
                };
                self.send(now, job, Some(grant));
            }
            Admission::Wait(_) => {}
            Admission::Refuse(_) => self.result.refused += 1,
        }
        self.dispatch(now, instance);
    }

    fn pick_instance(&mut self) -> usize {
        if self.scenario == Scenario::Skewed && self.rng.random_bool(SKEWED_PART) {
            return 0;
        }
        loop {
            let instance = self.rng.random_range(0..INSTANCES);
            if self.alive[instance] {
                return instance;
            }
        }
    }

    fn pick_of_two(&mut self, instance: usize) -> usize {
        let one = self.rng.random_range(0..RUNNERS);
        let two = self.rng.random_range(0..RUNNERS);
        let own = &self.own[instance];
        if own[one] <= own[two] { one } else { two }
    }

    fn dispatch(&mut self, now: Duration, instance: usize) {
        while let Some(next) = self.instances[instance].next_decision(&self.service, now) {
            match next {
                QueueDecision::Start(arrived, grant) => {
                    let job = Job {
                        arrived,
                        sent: now,
                        instance,
                        runner: grant.runner,
                    };
                    self.send(now, job, Some(grant));
                }
                QueueDecision::Refuse(..) => self.result.refused += 1,
            }
        }
    }

    fn send(&mut self, now: Duration, job: Job, grant: Option<Grant>) {
        let runner = &mut self.runners[job.runner];
        let sent = runner.running + u32::try_from(runner.queue.len()).unwrap_or(u32::MAX) + 1;
        self.result.peak_connections = self.result.peak_connections.max(sent);
        if sent > SLOTS {
            runner.over_since.get_or_insert(now);
        }
        if runner.running < SLOTS {
            runner.running += 1;
            self.begin(now, job, grant);
        } else {
            runner.queue.push_back((job, grant));
        }
    }

    fn begin(&mut self, now: Duration, job: Job, grant: Option<Grant>) {
        let slow = self.scenario == Scenario::SlowRunner && job.runner == 0;
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let mean = MEAN_SERVICE.as_secs_f64() * factor;
        let took = exponential(&mut self.rng, mean);
        self.events.push(now + took, Event::Finished(job, grant));
    }

    fn finish(&mut self, now: Duration, job: Job, grant: Option<Grant>) {
        let runner = &mut self.runners[job.runner];
        runner.running -= 1;
        let next = runner.queue.pop_front();
        if next.is_some() {
            runner.running += 1;
        }
        let sent = runner.running + u32::try_from(runner.queue.len()).unwrap_or(u32::MAX);
        if sent <= SLOTS
            && let Some(since) = runner.over_since.take()
        {
            self.over += now.saturating_sub(since);
        }
        if let Some((next, grant)) = next {
            self.begin(now, next, grant);
        }
        let own = &mut self.own[job.instance][job.runner];
        *own = own.saturating_sub(1);
        if self.alive[job.instance] {
            self.result.times.record(now.saturating_sub(job.arrived));
        } else {
            self.result.lost += 1;
        }
        if let Some(grant) = grant {
            let took = now.saturating_sub(job.sent);
            self.instances[job.instance].release(&grant, Some(took));
            self.dispatch(now, job.instance);
        }
    }
}

fn name(instance: usize) -> String {
    format!("e{instance}")
}
