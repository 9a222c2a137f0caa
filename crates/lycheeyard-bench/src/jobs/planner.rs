use super::baseline::{plan_easy, plan_first_fit, plan_naive};
use lycheeyard_policy::{Action, Snapshot, plan};
use lycheeyard_protocol::Timestamp;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The planner that a simulation uses.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Planner {
    /// First come, first served, first fit: a job that does not fit blocks those behind it.
    Naive,
    /// First fit in order of submission: a job that does not fit is skipped.
    FirstFit,
    /// EASY backfill: first come, first served, with one reservation.
    Easy,
    /// The scheduling policy of this system.
    Policy,
}

impl Planner {
    /// All planners, the simplest first.
    pub const ALL: [Self; 4] = [Self::Naive, Self::FirstFit, Self::Easy, Self::Policy];

    /// Plans one round.
    #[must_use]
    pub fn plan(self, snapshot: &Snapshot, now: Timestamp) -> Vec<Action> {
        match self {
            Self::Naive => plan_naive(snapshot, now),
            Self::FirstFit => plan_first_fit(snapshot, now),
            Self::Easy => plan_easy(snapshot, now),
            Self::Policy => plan(snapshot, now),
        }
    }
}

impl fmt::Display for Planner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Naive => "naive",
            Self::FirstFit => "first-fit",
            Self::Easy => "easy",
            Self::Policy => "policy",
        })
    }
}
