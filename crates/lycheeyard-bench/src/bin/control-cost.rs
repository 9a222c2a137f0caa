//! Measures the control-plane cost of entry processes at several sizes and prints a table.
//!
//! The daemon must have been built in the same profile, since it is run from the directory of this program.

use lycheeyard_bench::{CostError, CostFigures, CostPoint, measure_cost};
use std::path::PathBuf;

const POINTS: &[(usize, u16, usize, u64)] = &[
    (2, 52, 0, 0),
    (4, 52, 0, 0),
    (8, 52, 0, 0),
    (4, 104, 0, 0),
    (4, 184, 0, 0),
    (4, 184, 100, 0),
    (4, 184, 200, 0),
    (4, 184, 300, 0),
    (8, 184, 300, 0),
    (4, 52, 0, 10),
    (4, 52, 0, 50),
];

#[tokio::main]
async fn main() -> Result<(), CostError> {
    println!("{}", CostFigures::HEADING);
    for &(entries, workers, gangs, tickets) in POINTS {
        let point = CostPoint {
            entries,
            workers,
            gangs,
            tickets,
        };
        let figures = measure_cost(daemon_path(), point).await?;
        println!("{point}{figures}");
    }
    Ok(())
}

/// The path of the daemon in the directory of this program.
fn daemon_path() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("lycheeyard-entry")
}
