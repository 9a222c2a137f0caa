//! Compares the scheduling policy with baseline planners in virtual time.

use lycheeyard_bench::jobs::{
    Comparison, Deployment, ExperimentError, Scale, compare, format_table, measure_round_time,
    plot_comparison, sweep_settings,
};
use std::{env, fs, io, path::PathBuf, process::ExitCode, thread};
use thiserror::Error;

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
const USAGE: &str = "job-policy [all|today|two-years|round|settings] [FOLDER for job-policy.json and plots] [cordillera|kapeng]";

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
        Some("settings") => return print_settings_sweep(),
        Some("round") => return print_round_times(),
        Some(_) => return Err(RunError::Usage),
    };
    let folder = args.next().map(PathBuf::from);
    let only_deployment = args.next();
    let mut comparisons = Vec::new();
    for scale in scales {
        for deployment in Deployment::ALL {
            if only_deployment
                .as_ref()
                .is_some_and(|name| *name != deployment.to_string())
            {
                continue;
            }
            comparisons.extend(run_seeds(deployment, scale)?);
        }
    }
    if let Some(folder) = folder {
        write_results(&folder, &comparisons)?;
    }
    Ok(())
}

fn print_round_times() -> Result<(), RunError> {
    for deployment in Deployment::ALL {
        for seed in SEEDS {
            let time = measure_round_time(deployment, seed)?;
            println!("{deployment} seed {seed}: {time:?}");
        }
    }
    Ok(())
}

fn print_settings_sweep() -> Result<(), RunError> {
    for deployment in Deployment::ALL {
        print!("{}", sweep_settings(deployment, &SEEDS)?);
    }
    Ok(())
}

/// Compares the planners on each seed, three seeds in parallel.
fn run_seeds(deployment: Deployment, scale: Scale) -> Result<Vec<Comparison>, RunError> {
    let mut comparisons = Vec::new();
    for chunk in SEEDS.chunks(3) {
        let results: Vec<_> = thread::scope(|scope| {
            let threads: Vec<_> = chunk
                .iter()
                .map(|seed| scope.spawn(move || compare(deployment, scale, *seed)))
                .collect();
            threads
                .into_iter()
                .map(thread::ScopedJoinHandle::join)
                .collect()
        });
        for comparison in results {
            let comparison = comparison.map_err(|_| RunError::Panicked)??;
            print!("{}", format_table(std::slice::from_ref(&comparison)));
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
        plot_comparison(comparison, folder)?;
    }
    Ok(())
}
