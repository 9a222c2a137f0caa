//! Measures the latency and the traffic of configuration changes in fleets of entry instances.

use lycheeyard_bench::{ControlError, FleetSize, measure_control};

const SIZES: [FleetSize; 2] = [
    FleetSize {
        data_centres: 4,
        instances: 2,
        workers: 13,
        organisations: 4,
    },
    FleetSize {
        data_centres: 6,
        instances: 10,
        workers: 184,
        organisations: 200,
    },
];

#[tokio::main]
async fn main() -> Result<(), ControlError> {
    for size in SIZES {
        print!("{}", measure_control(size).await?);
    }
    Ok(())
}
