use super::deployment::{PlanSize, random_job};
use lycheeyard_protocol::ParseError;
use rand::{SeedableRng, rngs::SmallRng};
use std::time::{Duration, Instant};

const REPETITIONS: usize = 30;

/// The duration of planning rounds.
#[derive(Clone, Copy, Debug)]
pub struct PlanTime {
    /// The number of waiting jobs in the measured rounds.
    pub waiting: usize,
    /// The number of runs that hold accelerators.
    pub runs: usize,
    /// The median time of a round.
    pub median: Duration,
    /// The longest time of a round.
    pub longest: Duration,
}

/// Fills a site and measures planning rounds with at least `waiting` jobs waiting.
///
/// # Errors
/// Fails when a name is malformed.
pub fn measure_plans(workers: PlanSize, waiting: usize, seed: u64) -> Result<PlanTime, ParseError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut site = workers.create_site()?;
    site.advance(Duration::from_millis(100));
    let mut number = 0;
    while site.scheduler.stats().queued < waiting {
        for _ in 0..50 {
            site.submit(random_job(number, &mut rng, site.now.wall)?);
            number += 1;
        }
        site.advance(Duration::from_millis(20));
    }
    site.advance(Duration::from_millis(1500));
    let mut times: Vec<Duration> = (0..REPETITIONS)
        .map(|_| {
            let mut scheduler = site.scheduler.clone();
            scheduler.request_plan();
            let started = Instant::now();
            std::hint::black_box(scheduler.plan(site.now));
            started.elapsed()
        })
        .collect();
    times.sort();
    let stats = site.scheduler.stats();
    Ok(PlanTime {
        waiting: stats.queued,
        runs: stats.runs,
        median: times[REPETITIONS / 2],
        longest: times[REPETITIONS - 1],
    })
}
