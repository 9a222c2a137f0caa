//! Experiments with the scheduling policy in virtual time.

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
mod table;
mod trace;

pub use bound::LowerBound;
pub use deployment::{Deployment, Scale};
pub use experiment::{Comparison, ExperimentError, compare};
pub use invariant::InvariantError;
pub use measures::{Completion, Measures, SizeClass};
pub use planner::Planner;
pub use plots::{PlotError, draw};
pub use round_time::{RoundTime, round_time};
pub use simulator::{JobLog, Simulation, simulate};
pub use table::table;
pub use trace::{Trace, TraceJob, trace, trace_of};
