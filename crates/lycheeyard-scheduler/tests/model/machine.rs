//! Random steps of the world.

use crate::world::{JOBS, WORKERS, World};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::marker::PhantomData;

const SEED: [u8; 32] = [11; 32];
const MAX_STEPS: usize = 200;

/// A fault that is built in on purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Broken {
    Nothing,
    /// A worker that does not answer counts as stopped at once.
    TrustsSilence,
    /// Task leases are renewed on records that may be out of date.
    RenewsAlways,
}

/// One step.
#[derive(Clone, Debug)]
pub enum Step {
    Advance(u64),
    Acquire(usize),
    Read(usize),
    Poll(usize, usize),
    Act(usize, usize, usize),
    Deliver(usize, bool),
    DropCall(usize),
    Store(bool),
    Round(usize, usize),
    CutWorker(usize, usize, bool),
    CutStore(usize, bool),
    RestartWorker(usize),
}

/// Draws the steps; the world itself is the only state that matters.
#[derive(Clone, Debug)]
pub struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (1..1500_u64).prop_map(Step::Advance),
            4 => (0..2_usize).prop_map(Step::Acquire),
            2 => (0..2_usize).prop_map(Step::Read),
            12 => (0..2_usize, 0..WORKERS).prop_map(|(s, w)| Step::Poll(s, w)),
            16 => (0..2_usize, 0..JOBS, 0..WORKERS - 1).prop_map(|(s, j, w)| Step::Act(s, j, w)),
            20 => (any::<usize>(), prop::bool::weighted(0.9)).prop_map(|(c, a)| Step::Deliver(c, a)),
            1 => any::<usize>().prop_map(Step::DropCall),
            1 => any::<bool>().prop_map(Step::Store),
            16 => (0..2_usize, 0..WORKERS - 1).prop_map(|(s, w)| Step::Round(s, w)),
            3 => (0..2_usize, 0..WORKERS, any::<bool>()).prop_map(|(s, w, c)| Step::CutWorker(s, w, c)),
            2 => (0..2_usize, any::<bool>()).prop_map(|(s, c)| Step::CutStore(s, c)),
            1 => (0..WORKERS).prop_map(Step::RestartWorker),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Runs the steps on a world with a built-in fault.
struct Machine<F>(PhantomData<F>);

trait Fault {
    const BROKEN: Broken;
}

struct Whole;
struct Trusting;
struct Renewing;

impl Fault for Whole {
    const BROKEN: Broken = Broken::Nothing;
}

impl Fault for Trusting {
    const BROKEN: Broken = Broken::TrustsSilence;
}

impl Fault for Renewing {
    const BROKEN: Broken = Broken::RenewsAlways;
}

impl<F: Fault> StateMachineTest for Machine<F> {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test((): &()) -> World {
        World::new(F::BROKEN)
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        match step {
            Step::Advance(ms) => world.advance(ms),
            Step::Acquire(from) => world.acquire(from),
            Step::Read(from) => world.read(from),
            Step::Poll(from, worker) => world.poll(from, worker),
            Step::Act(from, job, first) => world.act(from, job, first),
            Step::Deliver(call, answered) => world.deliver(call, answered),
            Step::DropCall(call) => world.drop_call(call),
            Step::Store(up) => world.set_store(up),
            Step::Round(from, first) => world.round(from, first),
            Step::CutWorker(from, worker, cut) => world.cut_worker(from, worker, cut),
            Step::CutStore(from, cut) => world.cut_store(from, cut),
            Step::RestartWorker(worker) => world.restart_worker(worker),
        }
        world.check();
        world
    }
}

/// Runs the model with a fixed seed and gives its first failure, if any.
pub fn run(broken: Broken, cases: u32) -> Option<String> {
    match broken {
        Broken::Nothing => find_failure::<Whole>(cases),
        Broken::TrustsSilence => find_failure::<Trusting>(cases),
        Broken::RenewsAlways => find_failure::<Renewing>(cases),
    }
}

fn find_failure<F: Fault>(cases: u32) -> Option<String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 30,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Steps::sequential_strategy(MAX_STEPS / 2..MAX_STEPS);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        Machine::<F>::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    result.err().map(|err| err.to_string())
}
