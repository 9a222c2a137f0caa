use crate::{
    delivery::Delivery,
    fake_store::FakeStore,
    lease_steps::{INSTANCES, Model, Step},
    run::{cases, find_failure, runtime, settle},
    store_variants::{AssumesSuccess, Correct, TestStore, Unconditional},
};
use lycheeyard_protocol::Epoch;
use lycheeyard_state::{HeldLease, LeaseOutcome, SchedulerLease, StateError};
use proptest_state_machine::StateMachineTest;
use std::{collections::BTreeMap, marker::PhantomData, time::Duration};
use tokio::{runtime::Runtime, task::JoinHandle, time::Instant};

const LEASE_DURATION: Duration = Duration::from_secs(3);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How an instance that holds the lease verifies before an action that it still holds it.
trait HolderPolicy: 'static {
    fn may_act(held: HeldLease, now: Instant) -> bool;
}

/// Checks the lease's deadline before each action.
struct ChecksDeadline;

impl HolderPolicy for ChecksDeadline {
    fn may_act(held: HeldLease, now: Instant) -> bool {
        held.valid_until > now
    }
}

/// Acts until an attempt to renew shows that the lease is lost.
struct IgnoresDeadline;

impl HolderPolicy for IgnoresDeadline {
    fn may_act(_: HeldLease, _: Instant) -> bool {
        true
    }
}

type Attempt = JoinHandle<Result<LeaseOutcome, StateError>>;

struct System<S, H> {
    runtime: Runtime,
    store: FakeStore,
    leases: Vec<SchedulerLease<S>>,
    held: Vec<Option<HeldLease>>,
    attempts: Vec<Option<Attempt>>,
    resignations: Vec<JoinHandle<Result<(), StateError>>>,
    /// The reference state: the instance that acted in each epoch, and the last epoch with an action.
    actors: BTreeMap<Epoch, usize>,
    last_epoch: Epoch,
    holder: PhantomData<H>,
}

impl<S: TestStore, H: HolderPolicy> System<S, H> {
    fn new() -> Self {
        let store = FakeStore::new();
        let data_centre = "dc1".parse().expect("name is valid");
        let lease = |index: usize| {
            let instance = format!("i{index}").parse().expect("name is valid");
            SchedulerLease::new(
                S::wrap(store.for_instance(index)),
                &data_centre,
                instance,
                LEASE_DURATION,
            )
        };
        Self {
            runtime: runtime(),
            leases: (0..INSTANCES).map(lease).collect(),
            store,
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
            Step::Deliver { pick, delivery } => self.store.deliver(pick, delivery),
            Step::ApplyDelayed { pick } => self.store.apply_delayed(pick),
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
        let attempt = async move { lease.acquire(held, Instant::now() + CALL_TIMEOUT).await };
        self.attempts[instance] = Some(self.runtime.spawn(attempt));
    }

    fn act(&mut self, instance: usize) {
        let now = self.now();
        let held = self.held[instance].filter(|held| H::may_act(*held, now));
        let Some(held) = held else { return };
        assert!(
            held.epoch >= self.last_epoch,
            "an instance acted in a superseded epoch"
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
        let resignation = async move { lease.resign(held, Instant::now() + CALL_TIMEOUT).await };
        self.resignations.push(self.runtime.spawn(resignation));
    }

    /// Ends an instance; its pending calls may still reach the store.
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
                .expect("attempt does not panic")
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

    /// Stops injecting faults; some instance must then acquire the lease.
    fn finish(mut self) {
        while self.store.has_delayed() {
            self.store.apply_delayed(0);
        }
        for round in 0..400 {
            self.acquire(round % INSTANCES);
            self.store.deliver(0, Delivery::Answer);
            settle(&self.runtime, LEASE_DURATION / 20);
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
        panic!("no instance acquires the lease");
    }
}

struct Run<S, H>(PhantomData<(S, H)>);

impl<S: TestStore, H: HolderPolicy> StateMachineTest for Run<S, H> {
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
fn only_one_instance_acts_in_each_epoch() {
    assert_eq!(
        find_failure::<Run<Correct, ChecksDeadline>>(cases(300)),
        None
    );
}

#[test]
fn model_detects_renewal_that_is_assumed_after_a_lost_answer() {
    let failure = find_failure::<Run<AssumesSuccess, ChecksDeadline>>(3_000);
    let failure = failure.expect("model detects the fault");
    assert!(
        failure.contains("two instances hold the lease"),
        "{failure}"
    );
}

#[test]
fn model_detects_holder_that_ignores_its_deadline() {
    let failure = find_failure::<Run<Correct, IgnoresDeadline>>(3_000);
    let failure = failure.expect("model detects the fault");
    assert!(
        failure.contains("an instance acted in a superseded epoch"),
        "{failure}"
    );
}

#[test]
fn model_detects_unconditional_takeover() {
    let failure = find_failure::<Run<Unconditional, ChecksDeadline>>(3_000);
    let failure = failure.expect("model detects the fault");
    assert!(
        failure.contains("two instances hold the lease"),
        "{failure}"
    );
}
