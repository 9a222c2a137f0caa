use super::{
    Deployment, InvariantError, LowerBound, Measures, Planner, Scale, Simulation, Trace,
    generate_trace, simulate,
};
use lycheeyard_protocol::ParseError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// The results of all planners on one trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// The deployment.
    pub deployment: Deployment,
    /// The size of the deployment.
    pub scale: Scale,
    /// The seed of the trace.
    pub seed: u64,
    /// Bounds that no planner can beat.
    pub bound: LowerBound,
    /// The results of each planner.
    pub planners: BTreeMap<Planner, Measures>,
    /// Samples for each planner: the time in seconds, the idle accelerators and the unusable ones among them.
    #[serde(skip)]
    pub idle: BTreeMap<Planner, Vec<(f64, u32, u32)>>,
}

/// The reason why an experiment failed.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A name in the trace is malformed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A planner violated an invariant.
    #[error("{planner} on seed {seed}: {error}")]
    Invariant {
        /// The planner.
        planner: Planner,
        /// The seed of the trace.
        seed: u64,
        /// The violated invariant.
        error: InvariantError,
    },
}

/// Generates the trace of a seed and simulates it with every planner.
///
/// # Errors
/// Fails when a planner violates an invariant.
pub fn compare(
    deployment: Deployment,
    scale: Scale,
    seed: u64,
) -> Result<Comparison, ExperimentError> {
    let trace = generate_trace(deployment, scale, seed)?;
    let mut comparison = Comparison {
        deployment,
        scale,
        seed,
        bound: LowerBound::for_trace(&trace),
        planners: BTreeMap::new(),
        idle: BTreeMap::new(),
    };
    for planner in Planner::ALL {
        let simulation = simulate_seed(planner, &trace, seed)?;
        let measures = Measures::from_simulation(&trace, &simulation);
        comparison.planners.insert(planner, measures);
        let idle = simulation.idle.iter().map(|(at, _, now)| {
            let at = super::bound::seconds(at.0);
            (at, now.idle, now.unusable)
        });
        comparison.idle.insert(planner, idle.collect());
    }
    Ok(comparison)
}

/// Simulates a planner on the trace of a seed.
///
/// # Errors
/// Fails when the planner violates an invariant.
pub(super) fn simulate_seed(
    planner: Planner,
    trace: &Trace,
    seed: u64,
) -> Result<Simulation, ExperimentError> {
    simulate(planner, trace, &[]).map_err(|error| ExperimentError::Invariant {
        planner,
        seed,
        error,
    })
}
