//! Prints the tables of the request experiments: slot sharing, overload and the choice of an upstream.

use lycheeyard_bench::requests::{
    OverloadPolicy, Scenario, Sharing, measure_choice, run_overload, run_sharing,
};
use strum::IntoEnumIterator;

const SEED: u64 = 7;
const SHARING_LOADS: [f64; 2] = [0.4, 0.7];
const OVERLOAD_LOADS: [f64; 4] = [0.5, 1.0, 1.5, 3.0];
const LOSS_RATES: [f64; 2] = [0.01, 0.3];
const RUNNERS: [usize; 2] = [50, 1100];

fn main() {
    println!("slot sharing, 9 instances, 50 runners, seed {SEED}");
    println!(
        "load scenario sharing p50_ms p99_ms p99.9_ms refused lost over_slots_% peak_connections"
    );
    for (load, scenario) in
        Scenario::iter().flat_map(|scenario| SHARING_LOADS.map(|load| (load, scenario)))
    {
        for sharing in Sharing::iter() {
            let result = run_sharing(sharing, scenario, load, SEED);
            println!(
                "{load} {scenario} {sharing} {:.2} {:.2} {:.2} {} {} {:.3} {}",
                result.times.percentile_ms(50.0),
                result.times.percentile_ms(99.0),
                result.times.percentile_ms(99.9),
                result.refused,
                result.lost,
                result.over_slots_percent,
                result.peak_connections,
            );
        }
    }
    println!("\noverload, 96 slots, deadline 100 ms, seed {SEED}");
    println!("policy lost load goodput_per_s modest_answered_% tries_per_request p50_ms p99_ms");
    for policy in OverloadPolicy::iter() {
        for (loss_rate, load) in LOSS_RATES
            .into_iter()
            .flat_map(|loss_rate| OVERLOAD_LOADS.map(|load| (loss_rate, load)))
        {
            let result = run_overload(policy, load, loss_rate, SEED);
            println!(
                "{policy} {loss_rate} {load} {:.0} {:.2} {:.3} {:.2} {:.2}",
                result.goodput(),
                f64::from(result.modest_good) / f64::from(result.modest) * 100.0,
                f64::from(result.tries) / f64::from(result.good),
                result.times.percentile_ms(50.0),
                result.times.percentile_ms(99.0),
            );
        }
    }
    println!("\nchoice of an upstream");
    println!("runners mean_ns");
    for runners in RUNNERS {
        let timing = measure_choice(runners);
        println!("{} {:.0}", timing.runners, timing.mean_ns);
    }
}
