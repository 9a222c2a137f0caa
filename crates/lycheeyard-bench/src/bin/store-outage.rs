//! Measures idle accelerator time in store outages for both policies of the scheduler.

use lycheeyard_bench::measure_outages;
use std::process::ExitCode;

const OUTAGES_MS: [u64; 4] = [60_000, 600_000, 3_600_000, 14_400_000];
const SEEDS: u64 = 5;

fn main() -> ExitCode {
    match measure_outages(&OUTAGES_MS, SEEDS) {
        Ok(report) => {
            print!("{report}");
            println!("{}", serde_json::to_string(&report).unwrap_or_default());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("store-outage: {err}");
            ExitCode::FAILURE
        }
    }
}
