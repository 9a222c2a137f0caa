//! Prints how long planning rounds of the job scheduler take at several sizes.

use lycheeyard_bench::plans::{PlanSize, measure_plans};
use lycheeyard_protocol::ParseError;

/// Today's sites and the two-year size of one site's accelerators.
const SIZES: [PlanSize; 2] = [PlanSize(48), PlanSize(200)];
const WAITING: [usize; 3] = [10, 100, 1000];
const SEED: u64 = 1;

fn main() -> Result<(), ParseError> {
    println!("| workers | waiting jobs | runs | median ms | longest ms |");
    println!("|---|---|---|---|---|");
    for size in SIZES {
        for waiting in WAITING {
            let time = measure_plans(size, waiting, SEED)?;
            println!(
                "| {} | {} | {} | {:.2} | {:.2} |",
                size,
                time.waiting,
                time.runs,
                time.median.as_secs_f64() * 1e3,
                time.longest.as_secs_f64() * 1e3,
            );
        }
    }
    Ok(())
}
