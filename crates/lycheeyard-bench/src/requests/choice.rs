use lycheeyard_policy::{RunnerLoad, choose_runner};
use std::{hint::black_box, time::Instant};

const ROUNDS: u32 = 200_000;

/// The time that one choice of an upstream takes.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceTiming {
    /// The number of runners.
    pub runners: usize,
    /// Nanoseconds a choice, the mean over all rounds.
    pub mean_ns: f64,
}

/// Times the choice among `runners` runners, all but a few of which have a free slot.
#[must_use]
pub fn time_choice(runners: usize) -> ChoiceTiming {
    let loads: Vec<RunnerLoad> = (0..runners)
        .map(|number| RunnerLoad {
            in_flight: u32::from(number % 7 == 0) + u32::from(number % 3 == 0),
            share: 2,
            latency_us: 900 + u32::try_from(number % 13).unwrap_or_default(),
        })
        .collect();
    let started = Instant::now();
    for round in 0..ROUNDS {
        let start = usize::try_from(round).unwrap_or_default();
        black_box(choose_runner(black_box(&loads), start, None));
    }
    ChoiceTiming {
        runners,
        mean_ns: started.elapsed().as_secs_f64() * 1e9 / f64::from(ROUNDS),
    }
}
