use super::OutageWay;
use serde::{Deserialize, Serialize};
use std::fmt;

/// The idle accelerator time of one length of outage and one way, over all seeds.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct OutageRow {
    /// The length of the outage in seconds.
    pub outage_s: u64,
    /// The way.
    pub way: OutageWay,
    /// Idle accelerator time as a share of all accelerator time in the outage: the mean over the seeds.
    pub idle_mean: f64,
    /// The largest share of any seed.
    pub idle_max: f64,
}

/// All rows of a measurement.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OutageReport {
    /// The rows.
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
                row.way.to_string(),
                row.idle_mean,
                row.idle_max
            )?;
        }
        Ok(())
    }
}
