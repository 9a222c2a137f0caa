//! Compares the scheduling policy with plain planners in virtual time.

use lycheeyard_bench::jobs::{
    Comparison, Deployment, ExperimentError, Scale, compare, draw, round_time, table,
};
use std::{env, fs, io, path::PathBuf, process::ExitCode, thread};
use thiserror::Error;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const USAGE: &str = "job-policy [all|today|two-years|round] [FOLDER for job-policy.json and plots]";

#[derive(Debug, Error)]
enum RunError {
    #[error("usage: {USAGE}")]
    Usage,
    #[error(transparent)]
    Parse(#[from] lycheeyard_protocol::ParseError),
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    #[error("cannot write results: {0}")]
    Write(#[from] io::Error),
    #[error("cannot write JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Plot(#[from] lycheeyard_bench::jobs::PlotError),
    #[error("an experiment thread panicked")]
    Panicked,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("job-policy: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), RunError> {
    let mut args = env::args().skip(1);
    let scales = match args.next().as_deref() {
        None | Some("all") => vec![Scale::Today, Scale::TwoYears],
        Some("today") => vec![Scale::Today],
        Some("two-years") => vec![Scale::TwoYears],
        Some("round") => return time_rounds(),
        Some(_) => return Err(RunError::Usage),
    };
    let folder = args.next().map(PathBuf::from);
    let mut comparisons = Vec::new();
    for scale in scales {
        for deployment in Deployment::ALL {
            comparisons.extend(run_seeds(deployment, scale)?);
        }
    }
    if let Some(folder) = folder {
        write_results(&folder, &comparisons)?;
    }
    Ok(())
}

fn time_rounds() -> Result<(), RunError> {
    for deployment in Deployment::ALL {
        for seed in SEEDS {
            let time = round_time(deployment, seed)?;
            println!("{deployment} seed {seed}: {time:?}");
        }
    }
    Ok(())
}

/// Runs the seeds three at a time.
fn run_seeds(deployment: Deployment, scale: Scale) -> Result<Vec<Comparison>, RunError> {
    let mut comparisons = Vec::new();
    for pair in SEEDS.chunks(3) {
        let done: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = pair
                .iter()
                .map(|seed| scope.spawn(move || compare(deployment, scale, *seed)))
                .collect();
            threads
                .into_iter()
                .map(thread::ScopedJoinHandle::join)
                .collect()
        });
        for comparison in done {
            let comparison = comparison.map_err(|_| RunError::Panicked)??;
            print!("{}", table(std::slice::from_ref(&comparison)));
            comparisons.push(comparison);
        }
    }
    Ok(comparisons)
}

fn write_results(folder: &PathBuf, comparisons: &[Comparison]) -> Result<(), RunError> {
    fs::create_dir_all(folder)?;
    let json = serde_json::to_vec_pretty(comparisons)?;
    fs::write(folder.join("job-policy.json"), json)?;
    for comparison in comparisons {
        draw(comparison, folder)?;
    }
    Ok(())
}
