use lycheeyard_policy::{RunnerLoad, choose_runner};
use std::{hint::black_box, time::Instant};

const REPETITIONS: u32 = 200_000;

/// The time that the choice of an upstream takes.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceTiming {
    /// The number of runners.
    pub runners: usize,
    /// The mean time of a choice in nanoseconds.
    pub mean_ns: f64,
}

/// Measures the choice among `runners` runners, most of which have a free slot.
#[must_use]
pub fn measure_choice(runners: usize) -> ChoiceTiming {
    let loads: Vec<RunnerLoad> = (0..runners)
        .map(|number| RunnerLoad {
            in_flight: u32::from(number % 7 == 0) + u32::from(number % 3 == 0),
            share: 2,
            latency_us: 900 + u32::try_from(number % 13).unwrap_or_default(),
        })
        .collect();
    let started = Instant::now();
    for repetition in 0..REPETITIONS {
        let start = usize::try_from(repetition).unwrap_or_default();
        black_box(choose_runner(black_box(&loads), start, None));
    }
    ChoiceTiming {
        runners,
        mean_ns: started.elapsed().as_secs_f64() * 1e9 / f64::from(REPETITIONS),
    }
}
