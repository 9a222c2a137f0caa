mod members;
mod result;
mod runner_service;

pub use result::SharingResult;

use super::{
    Scenario, Sharing,
    draw::{draw_exponential, parse_name},
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
const OTHER_INSTANCES: u32 = 8;
const TOTAL_SLOTS: f64 = 400.0;
const TOTAL_RUNNERS: f64 = 50.0;
const SLOTS_PER_RUNNER: u32 = 8;
const INSTANCES: usize = 9;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(5);
const DURATION: Duration = Duration::from_secs(30);
const HALF_TIME: Duration = Duration::from_secs(15);
const DEADLINE: Duration = Duration::from_secs(5);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const LOAN_DURATION: Duration = Duration::from_millis(1200);
const LENDER_MARGIN: Duration = Duration::from_millis(300);
/// The time until the other instances detect that an instance has failed.
const FAILURE_DETECTION: Duration = Duration::from_secs(3);
/// The time until the other instances detect that an instance has been added.
const JOIN_DETECTION: Duration = Duration::from_secs(1);
const SLOW_FACTOR: f64 = 5.0;
const SKEWED_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug)]
struct Request {
    arrived_at: Duration,
    sent_at: Duration,
    instance: usize,
    runner: usize,
}

enum Event {
    Arrival,
    Finished(Request, Option<Grant>),
    Heartbeat,
    MembershipChange,
    InstanceFails,
}

#[derive(Default)]
struct SimulatedRunner {
    running: u32,
    queue: VecDeque<(Request, Option<Grant>)>,
    over_slots_since: Option<Duration>,
}

struct SharingSimulation {
    sharing: Sharing,
    scenario: Scenario,
    rng: SmallRng,
    events: EventQueue<Event>,
    instances: Vec<SlotScheduler<Duration>>,
    in_flight: Vec<Vec<u32>>,
    is_running: Vec<bool>,
    runners: Vec<SimulatedRunner>,
    service: ServiceId,
    organisation: OrganisationId,
    over_slots_time: Duration,
    result: SharingResult,
}

/// Simulates one scenario in virtual time. `load` is the offered load as a share of the capacity of the runners.
///
/// # Panics
/// Never, since all names are valid.
#[must_use]
pub fn run_sharing(sharing: Sharing, scenario: Scenario, load: f64, seed: u64) -> SharingResult {
    let mut simulation = SharingSimulation::new(sharing, scenario, seed);
    simulation.events.push(Duration::ZERO, Event::Arrival);
    simulation.events.push(HEARTBEAT_INTERVAL, Event::Heartbeat);
    simulation.update_members(Duration::ZERO);
    match scenario {
        Scenario::InstanceFails => {
            simulation.events.push(HALF_TIME, Event::InstanceFails);
            simulation
                .events
                .push(HALF_TIME + FAILURE_DETECTION, Event::MembershipChange);
        }
        Scenario::InstanceAdded => {
            simulation.events.push(HALF_TIME, Event::MembershipChange);
            simulation
                .events
                .push(HALF_TIME + JOIN_DETECTION, Event::MembershipChange);
        }
        Scenario::Even | Scenario::Skewed | Scenario::SlowRunner => {}
    }
    let requests_per_second = TOTAL_SLOTS / MEAN_SERVICE_TIME.as_secs_f64() * load;
    simulation.run(requests_per_second);
    simulation.result
}

impl SharingSimulation {
    fn new(sharing: Sharing, scenario: Scenario, seed: u64) -> Self {
        let organisation: OrganisationId = parse_name("org-a");
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
        let mut is_running = vec![true; INSTANCES];
        is_running[INSTANCES - 1] = scenario != Scenario::InstanceAdded;
        Self {
            sharing,
            scenario,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::default(),
            instances,
            in_flight: vec![vec![0; RUNNERS]; INSTANCES],
            is_running,
            runners: (0..RUNNERS).map(|_| SimulatedRunner::default()).collect(),
            service: parse_name("lookups"),
            organisation,
            over_slots_time: Duration::ZERO,
            result: SharingResult::default(),
        }
    }

    fn run(&mut self, requests_per_second: f64) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Arrival => {
                    let gap = draw_exponential(&mut self.rng, 1.0 / requests_per_second);
                    if now + gap < DURATION {
                        self.events.push(now + gap, Event::Arrival);
                    }
                    self.handle_arrival(now);
                }
                Event::Finished(request, grant) => self.finish(now, request, grant),
                Event::Heartbeat => {
                    if now < DURATION {
                        self.events.push(now + HEARTBEAT_INTERVAL, Event::Heartbeat);
                        self.lend_slots(now);
                    }
                }
                Event::MembershipChange => {
                    if self.scenario == Scenario::InstanceAdded {
                        self.is_running[INSTANCES - 1] = true;
                    }
                    self.update_members(now);
                }
                Event::InstanceFails => self.is_running[0] = false,
            }
        }
        let runner_time_s = DURATION.as_secs_f64() * TOTAL_RUNNERS;
        self.result.over_slots_percent = self.over_slots_time.as_secs_f64() / runner_time_s * 100.0;
    }

    fn handle_arrival(&mut self, now: Duration) {
        let instance = self.pick_instance();
        if self.sharing == Sharing::PowerOfTwo {
            let runner = self.pick_runner_of_two(instance);
            self.in_flight[instance][runner] += 1;
            let request = Request {
                arrived_at: now,
                sent_at: now,
                instance,
                runner,
            };
            self.send_to_runner(now, request, None);
            return;
        }
        let scheduler = &mut self.instances[instance];
        let deadline = now + DEADLINE;
        let admission =
            scheduler.request(&self.service, &self.organisation, deadline, None, now, now);
        self.result.refused += u64::from(admission.1.is_some());
        match admission.0 {
            Admission::Start(grant) => {
                let request = Request {
                    arrived_at: now,
                    sent_at: now,
                    instance,
                    runner: grant.runner,
                };
                self.send_to_runner(now, request, Some(grant));
            }
            Admission::Wait(_) => {}
            Admission::Refuse(_) => self.result.refused += 1,
        }
        self.dispatch(now, instance);
    }

    fn pick_instance(&mut self) -> usize {
        if self.scenario == Scenario::Skewed && self.rng.random_bool(SKEWED_SHARE) {
            return 0;
        }
        loop {
            let instance = self.rng.random_range(0..INSTANCES);
            if self.is_running[instance] {
                return instance;
            }
        }
    }

    fn pick_runner_of_two(&mut self, instance: usize) -> usize {
        let one = self.rng.random_range(0..RUNNERS);
        let two = self.rng.random_range(0..RUNNERS);
        let in_flight = &self.in_flight[instance];
        if in_flight[one] <= in_flight[two] {
            one
        } else {
            two
        }
    }

    fn dispatch(&mut self, now: Duration, instance: usize) {
        while let Some(next) = self.instances[instance].next_decision(&self.service, now) {
            match next {
                QueueDecision::Start(arrived_at, grant) => {
                    let request = Request {
                        arrived_at,
                        sent_at: now,
                        instance,
                        runner: grant.runner,
                    };
                    self.send_to_runner(now, request, Some(grant));
                }
                QueueDecision::Refuse(..) => self.result.refused += 1,
            }
        }
    }
}

fn instance_name(instance: usize) -> String {
    format!("e{instance}")
}
