use super::OutagePolicy;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The idle accelerator time for one outage length and one policy, over all seeds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct OutageRow {
    /// The length of the outage in seconds.
    pub outage_s: u64,
    /// The policy of the scheduler during the outage.
    #[serde(rename = "way")]
    pub policy: OutagePolicy,
    /// The mean over the seeds of the idle accelerator time, as a share of the accelerator time in the outage.
    pub idle_mean: f64,
    /// The largest of these shares over the seeds.
    pub idle_max: f64,
}

/// All rows of a measurement.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OutageReport {
    /// One row per outage length and policy.
    pub rows: Vec<OutageRow>,
}

impl fmt::Display for OutageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "outage_s  way            idle_mean  idle_max")?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>8}  {:<13}  {:>9.4}  {:>8.4}",
                row.outage_s,
                row.policy.to_string(),
                row.idle_mean,
                row.idle_max
            )?;
        }
        Ok(())
    }
}
