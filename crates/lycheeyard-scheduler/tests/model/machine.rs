//! Runs the simulation through random steps.

use crate::simulation::{JOBS, Simulation, WORKERS};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::marker::PhantomData;

const SEED: [u8; 32] = [11; 32];
const MAX_STEPS: usize = 200;

/// A deliberate fault of a model variant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Defect {
    None,
    /// A worker that does not answer counts as stopped at once, without waiting for its leases to expire.
    TreatsSilenceAsStopped,
    /// Task leases are renewed from records that may be stale.
    RenewsWithStaleRecords,
}

/// One step of the simulation. A scheduler is given by its index, a call by any number that is reduced to an index.
#[derive(Clone, Debug)]
pub enum Step {
    /// Milliseconds.
    Advance(u64),
    Acquire(usize),
    Read(usize),
    /// Scheduler and worker.
    Poll(usize, usize),
    /// Scheduler, job, and the first worker if the job is placed.
    Act(usize, usize, usize),
    /// Call, and whether its response arrives.
    Deliver(usize, bool),
    DropCall(usize),
    /// Whether the store is available from now on.
    Store(bool),
    /// Scheduler, and the first worker of each job that is placed.
    Round(usize, usize),
    /// Scheduler, worker, and whether the connection is interrupted.
    PartitionWorker(usize, usize, bool),
    /// Scheduler, and whether the connection is interrupted.
    PartitionStore(usize, bool),
    RestartWorker(usize),
}

/// Generates the steps. There is no reference state: the simulation is the only state.
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
            3 => (0..2_usize, 0..WORKERS, any::<bool>()).prop_map(|(s, w, c)| Step::PartitionWorker(s, w, c)),
            2 => (0..2_usize, any::<bool>()).prop_map(|(s, c)| Step::PartitionStore(s, c)),
            1 => (0..WORKERS).prop_map(Step::RestartWorker),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Runs the steps on one variant of the simulation.
struct Machine<F>(PhantomData<F>);

trait Variant {
    const DEFECT: Defect;
}

struct Correct;
struct SilenceAsStopped;
struct StaleRenewals;

impl Variant for Correct {
    const DEFECT: Defect = Defect::None;
}

impl Variant for SilenceAsStopped {
    const DEFECT: Defect = Defect::TreatsSilenceAsStopped;
}

impl Variant for StaleRenewals {
    const DEFECT: Defect = Defect::RenewsWithStaleRecords;
}

impl<F: Variant> StateMachineTest for Machine<F> {
    type SystemUnderTest = Simulation;
    type Reference = Steps;

    fn init_test((): &()) -> Simulation {
        Simulation::new(F::DEFECT)
    }

    fn apply(mut simulation: Simulation, (): &(), step: Step) -> Simulation {
        match step {
            Step::Advance(ms) => simulation.advance(ms),
            Step::Acquire(from) => simulation.acquire(from),
            Step::Read(from) => simulation.read(from),
            Step::Poll(from, worker) => simulation.poll(from, worker),
            Step::Act(from, job, first) => simulation.act(from, job, first),
            Step::Deliver(call, answered) => simulation.deliver(call, answered),
            Step::DropCall(call) => simulation.drop_call(call),
            Step::Store(up) => simulation.set_store(up),
            Step::Round(from, first) => simulation.round(from, first),
            Step::PartitionWorker(from, worker, is_partitioned) => {
                simulation.partition_worker(from, worker, is_partitioned);
            }
            Step::PartitionStore(from, is_partitioned) => {
                simulation.partition_store(from, is_partitioned);
            }
            Step::RestartWorker(worker) => simulation.restart_worker(worker),
        }
        simulation.check();
        simulation
    }
}

/// Runs the model with a fixed seed and returns its first failure, if any.
pub fn first_failure(defect: Defect, cases: u32) -> Option<String> {
    match defect {
        Defect::None => find_failure::<Correct>(cases),
        Defect::TreatsSilenceAsStopped => find_failure::<SilenceAsStopped>(cases),
        Defect::RenewsWithStaleRecords => find_failure::<StaleRenewals>(cases),
    }
}

fn find_failure<F: Variant>(cases: u32) -> Option<String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 30,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let strategy = Steps::sequential_strategy(MAX_STEPS / 2..MAX_STEPS);
    let result = runner.run(&strategy, |(state, steps, seen_counter)| {
        Machine::<F>::test_sequential(config.clone(), state, steps, seen_counter);
        Ok(())
    });
    result.err().map(|err| err.to_string())
}
