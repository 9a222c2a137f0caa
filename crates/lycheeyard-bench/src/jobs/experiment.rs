use super::{Deployment, InvariantError, LowerBound, Measures, Planner, Scale, simulate, trace};
use lycheeyard_protocol::ParseError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// What all planners made of one trace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// The deployment.
    pub deployment: Deployment,
    /// Its size.
    pub scale: Scale,
    /// The seed of the trace.
    pub seed: u64,
    /// What no planner can beat.
    pub bound: LowerBound,
    /// The measures of each planner.
    pub planners: BTreeMap<Planner, Measures>,
    /// Idle and useless accelerators over time, in seconds, for each planner.
    #[serde(skip)]
    pub idle: BTreeMap<Planner, Vec<(f64, u32, u32)>>,
}

/// Why an experiment ended early.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// A name in the trace is malformed.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A planner broke an invariant.
    #[error("{planner} on seed {seed}: {error}")]
    Invariant {
        /// The planner.
        planner: Planner,
        /// The seed of the trace.
        seed: u64,
        /// What it broke.
        error: InvariantError,
    },
}

/// Plays one trace through every planner.
///
/// # Errors
/// Fails when a planner breaks an invariant.
pub fn compare(
    deployment: Deployment,
    scale: Scale,
    seed: u64,
) -> Result<Comparison, ExperimentError> {
    let trace = trace(deployment, scale, seed)?;
    let mut comparison = Comparison {
        deployment,
        scale,
        seed,
        bound: LowerBound::of(&trace),
        planners: BTreeMap::new(),
        idle: BTreeMap::new(),
    };
    for planner in Planner::ALL {
        let simulation =
            simulate(planner, &trace, &[]).map_err(|error| ExperimentError::Invariant {
                planner,
                seed,
                error,
            })?;
        let measures = Measures::of(&trace, &simulation);
        comparison.planners.insert(planner, measures);
        let idle = simulation.idle.iter().map(|(at, _, now)| {
            let at = super::bound::seconds(at.0);
            (at, now.idle, now.useless)
        });
        comparison.idle.insert(planner, idle.collect());
    }
    Ok(comparison)
}
