//! Measures planning rounds of the job scheduler at several sizes and prints a table.

use lycheeyard_bench::plans::{PlanSize, measure_plans};
use lycheeyard_protocol::ParseError;

/// The workers of one of today's sites, of one with as many accelerators as the two-year scale, and of the largest users' sites.
const SIZES: [PlanSize; 3] = [PlanSize(48), PlanSize(200), PlanSize(350)];
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
