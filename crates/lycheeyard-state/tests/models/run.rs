use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use std::{env, fmt::Debug, time::Duration};
use tokio::runtime::{Builder, Runtime};

/// The environment variable that sets the number of random runs of each model.
const CASES_VARIABLE: &str = "LYCHEEYARD_MODEL_CASES";
const SEED: [u8; 32] = [7; 32];
const MAX_STEPS: usize = 150;
const YIELDS_PER_SETTLE: usize = 30;

/// The number of random runs: the value of the environment variable, or `default` if it is not a valid number.
pub fn cases(default: u32) -> u32 {
    let value = env::var(CASES_VARIABLE).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs a model with a fixed seed and returns the message of its first failure, if any.
pub fn find_failure<T>(cases: u32) -> Option<String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: Debug,
{
    let mut runner = seeded_runner(cases);
    let config = runner.config().clone();
    let strategy = T::Reference::sequential_strategy(1..MAX_STEPS);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        T::test_sequential(config.clone(), state, steps, seen);
        Ok(())
    });
    result.err().map(|err| err.to_string())
}

fn seeded_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// A single-threaded runtime whose clock advances only when the test advances it.
pub fn runtime() -> Runtime {
    Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime builds")
}

/// Lets all tasks run until they wait for the store, advances the clock, and lets the tasks run again.
pub fn settle(runtime: &Runtime, advance: Duration) {
    runtime.block_on(async {
        for _ in 0..YIELDS_PER_SETTLE {
            tokio::task::yield_now().await;
        }
        tokio::time::advance(advance).await;
        for _ in 0..YIELDS_PER_SETTLE {
            tokio::task::yield_now().await;
        }
    });
}
