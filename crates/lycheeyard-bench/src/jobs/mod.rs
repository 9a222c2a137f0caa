//! Simulations that compare the scheduling policy with baseline planners in virtual time.

#[path = "../../../lycheeyard-policy/tests/support/baseline.rs"]
pub mod baseline;
mod bound;
mod deployment;
mod experiment;
mod fragmentation;
mod invariant;
mod measures;
mod planner;
mod plots;
mod round_time;
mod simulator;
mod sweep;
mod table;
mod trace;

pub use bound::LowerBound;
pub use deployment::{Deployment, Scale};
pub use experiment::{Comparison, ExperimentError, compare};
pub use invariant::InvariantError;
pub use measures::{Completion, Measures, SizeClass};
pub use planner::Planner;
pub use plots::{PlotError, plot_comparison};
pub use round_time::{RoundTime, measure_round_time};
pub use simulator::{JobLog, Simulation, simulate};
pub use sweep::sweep_settings;
pub use table::format_table;
pub use trace::{Trace, TraceJob, generate_trace, generate_trace_with_jobs};
