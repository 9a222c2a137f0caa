use crate::{
    broken::{Correct, Hopeful, TestStore, Unconditional},
    fake_store::FakeStore,
    fate::{Fate, fates},
    run::{cases, find_failure, runtime, settle},
};
use lycheeyard_protocol::Epoch;
use lycheeyard_state::{HeldLease, LeaseOutcome, SchedulerLease, StateError};
use proptest::prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::{collections::BTreeMap, marker::PhantomData, time::Duration};
use tokio::{runtime::Runtime, task::JoinHandle, time::Instant};

const INSTANCES: usize = 3;
const LEASE: Duration = Duration::from_secs(3);
const CALL: Duration = Duration::from_secs(2);

#[derive(Clone, Debug)]
enum Step {
    /// An instance tries to take or renew the lease.
    Acquire {
        instance: usize,
    },
    /// An instance does what only the holder may do.
    Act {
        instance: usize,
    },
    Resign {
        instance: usize,
    },
    Crash {
        instance: usize,
    },
    Deliver {
        pick: usize,
        fate: Fate,
    },
    LandLate {
        pick: usize,
    },
    /// Time passes; instances that take no step are paused.
    Wait {
        millis: u64,
    },
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let instance = 0..INSTANCES;
        prop_oneof![
            6 => instance.clone().prop_map(|instance| Step::Acquire { instance }),
            4 => instance.clone().prop_map(|instance| Step::Act { instance }),
            1 => instance.clone().prop_map(|instance| Step::Resign { instance }),
            1 => instance.prop_map(|instance| Step::Crash { instance }),
            14 => (any::<usize>(), fates()).prop_map(|(pick, fate)| Step::Deliver { pick, fate }),
            3 => any::<usize>().prop_map(|pick| Step::LandLate { pick }),
            3 => (50..2_500_u64).prop_map(|millis| Step::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// How an instance that holds the lease makes sure that it still does before it acts.
trait Holder: 'static {
    fn may_act(held: HeldLease, now: Instant) -> bool;
}

/// Checks the lease's deadline before each act.
struct Checking;

impl Holder for Checking {
    fn may_act(held: HeldLease, now: Instant) -> bool {
        held.valid_until > now
    }
}

/// Acts until it learns that the lease is gone.
struct Careless;

impl Holder for Careless {
    fn may_act(_: HeldLease, _: Instant) -> bool {
        true
    }
}

type Attempt = JoinHandle<Result<LeaseOutcome, StateError>>;

struct System<S, H> {
    runtime: Runtime,
    fake: FakeStore,
    leases: Vec<SchedulerLease<S>>,
    held: Vec<Option<HeldLease>>,
    attempts: Vec<Option<Attempt>>,
    resignations: Vec<JoinHandle<Result<(), StateError>>>,
    /// The naive single copy: who acted in which epoch, and the last epoch that acted.
    actors: BTreeMap<Epoch, usize>,
    last_epoch: Epoch,
    holder: PhantomData<H>,
}

impl<S: TestStore, H: Holder> System<S, H> {
    fn new() -> Self {
        let fake = FakeStore::new();
        let data_centre = "dc1".parse().expect("a valid name");
        let lease = |index: usize| {
            let instance = format!("i{index}").parse().expect("a valid name");
            SchedulerLease::new(
                S::wrap(fake.for_instance(index)),
                &data_centre,
                instance,
                LEASE,
            )
        };
        Self {
            runtime: runtime(),
            leases: (0..INSTANCES).map(lease).collect(),
            fake,
            held: vec![None; INSTANCES],
            attempts: (0..INSTANCES).map(|_| None).collect(),
            resignations: Vec::new(),
            actors: BTreeMap::new(),
            last_epoch: Epoch(0),
            holder: PhantomData,
        }
    }

    fn step(&mut self, step: &Step) {
        let mut pause = Duration::from_millis(210);
        match *step {
            Step::Acquire { instance } => self.acquire(instance),
            Step::Act { instance } => self.act(instance),
            Step::Resign { instance } => self.resign(instance),
            Step::Crash { instance } => self.crash(instance),
            Step::Deliver { pick, fate } => self.fake.deliver(pick, fate),
            Step::LandLate { pick } => self.fake.land_late(pick),
            Step::Wait { millis } => pause = Duration::from_millis(millis),
        }
        settle(&self.runtime, pause);
        self.collect();
        self.check_overlap();
    }

    fn now(&self) -> Instant {
        self.runtime.block_on(async { Instant::now() })
    }

    fn acquire(&mut self, instance: usize) {
        if self.attempts[instance].is_some() {
            return;
        }
        let now = self.now();
        let held = self.held[instance].filter(|held| H::may_act(*held, now));
        let lease = self.leases[instance].clone();
        let attempt = async move { lease.acquire(held, Instant::now() + CALL).await };
        self.attempts[instance] = Some(self.runtime.spawn(attempt));
    }

    fn act(&mut self, instance: usize) {
        let now = self.now();
        let held = self.held[instance].filter(|held| H::may_act(*held, now));
        let Some(held) = held else { return };
        assert!(
            held.epoch >= self.last_epoch,
            "an earlier epoch acted again"
        );
        let actor = *self.actors.entry(held.epoch).or_insert(instance);
        assert_eq!(actor, instance, "two instances acted in one epoch");
        self.last_epoch = held.epoch;
    }

    fn resign(&mut self, instance: usize) {
        if self.attempts[instance].is_some() {
            return;
        }
        let Some(held) = self.held[instance].take() else {
            return;
        };
        let lease = self.leases[instance].clone();
        let resignation = async move { lease.resign(held, Instant::now() + CALL).await };
        self.resignations.push(self.runtime.spawn(resignation));
    }

    /// Ends an instance; its waiting calls may still reach the store.
    fn crash(&mut self, instance: usize) {
        if let Some(attempt) = self.attempts[instance].take() {
            attempt.abort();
        }
        self.held[instance] = None;
    }

    fn collect(&mut self) {
        for instance in 0..INSTANCES {
            let Some(attempt) = self.attempts[instance].take_if(|task| task.is_finished()) else {
                continue;
            };
            match self
                .runtime
                .block_on(attempt)
                .expect("no panic in an attempt")
            {
                Ok(LeaseOutcome::Held(held)) => self.held[instance] = Some(held),
                Ok(LeaseOutcome::NotHeld) => self.held[instance] = None,
                Err(_) => {}
            }
        }
    }

    fn check_overlap(&self) {
        let now = self.now();
        let valid = self.held.iter().flatten();
        let count = valid.filter(|held| held.valid_until > now).count();
        assert!(count <= 1, "two instances hold the lease");
    }

    /// Ends all faults; some instance must then get the lease.
    fn finish(mut self) {
        while self.fake.has_late() {
            self.fake.land_late(0);
        }
        for round in 0..400 {
            self.acquire(round % INSTANCES);
            self.fake.deliver(0, Fate::Answer);
            settle(&self.runtime, LEASE / 20);
            self.collect();
            self.check_overlap();
            let now = self.now();
            if self
                .held
                .iter()
                .flatten()
                .any(|held| held.valid_until > now)
            {
                return;
            }
        }
        panic!("nobody gets the lease");
    }
}

struct Run<S, H>(PhantomData<(S, H)>);

impl<S: TestStore, H: Holder> StateMachineTest for Run<S, H> {
    type SystemUnderTest = System<S, H>;
    type Reference = Model;

    fn init_test((): &()) -> System<S, H> {
        System::new()
    }

    fn apply(mut system: System<S, H>, (): &(), step: Step) -> System<S, H> {
        system.step(&step);
        system
    }

    fn teardown(system: System<S, H>, (): ()) {
        system.finish();
    }
}

#[test]
fn one_instance_acts_in_an_epoch() {
    assert_eq!(find_failure::<Run<Correct, Checking>>(cases(300)), None);
}

#[test]
fn model_finds_a_renewal_that_is_hoped_for() {
    let failure = find_failure::<Run<Hopeful, Checking>>(3_000);
    let failure = failure.expect("the model finds the fault");
    assert!(
        failure.contains("two instances hold the lease"),
        "{failure}"
    );
}

#[test]
fn model_finds_a_holder_that_ignores_its_deadline() {
    let failure = find_failure::<Run<Correct, Careless>>(3_000);
    let failure = failure.expect("the model finds the fault");
    assert!(
        failure.contains("an earlier epoch acted again"),
        "{failure}"
    );
}

#[test]
fn model_finds_unconditional_takeovers() {
    let failure = find_failure::<Run<Unconditional, Checking>>(3_000);
    let failure = failure.expect("the model finds the fault");
    assert!(
        failure.contains("two instances hold the lease"),
        "{failure}"
    );
}
