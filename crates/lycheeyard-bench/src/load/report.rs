use super::LoadMode;
use lycheeyard_protocol::OrganisationId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt};

/// Figures of one organisation, or of all together. Latencies count from when a request was due.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationReport {
    /// Requests that were due.
    pub sent: u64,
    /// Requests that got their own whole answer.
    pub answered: u64,
    /// Requests that got an answer which was not their own or not whole.
    pub wrong: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome the system could not tell.
    pub unknown: u64,
    /// Requests that the upstream itself answered with an error.
    pub failed: u64,
    /// Requests without any answer before their deadline.
    pub no_answer: u64,
    /// Median latency of answered requests in microseconds.
    pub p50_us: u64,
    /// 90th percentile in microseconds.
    pub p90_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile in microseconds.
    pub p999_us: u64,
    /// The slowest answer in microseconds.
    pub max_us: u64,
}

/// Figures of one second of the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SecondReport {
    /// Requests that were due in this second.
    pub sent: u64,
    /// Those that were answered.
    pub answered: u64,
    /// The slowest answer in microseconds.
    pub slowest_us: u64,
}

/// What a load run measured.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// How requests were let go.
    pub mode: LoadMode,
    /// The measured time in milliseconds.
    pub measured_ms: u64,
    /// All organisations together.
    pub total: OrganisationReport,
    /// Each organisation.
    pub organisations: BTreeMap<OrganisationId, OrganisationReport>,
    /// Each second of the run.
    pub seconds: BTreeMap<u64, SecondReport>,
}

impl LoadReport {
    /// Answered requests a second.
    #[must_use]
    pub fn goodput(&self) -> u64 {
        const MS_PER_S: u64 = 1000;
        self.total.answered * MS_PER_S / self.measured_ms.max(1)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "goodput {} requests/s over {} ms",
            self.goodput(),
            self.measured_ms
        )?;
        writeln!(
            f,
            "{:<16} {:>9} {:>9} {:>6} {:>8} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9}",
            "organisation",
            "sent",
            "answered",
            "wrong",
            "not-run",
            "unknown",
            "failed",
            "no-answer",
            "p50 us",
            "p99 us",
            "p99.9 us",
            "max us"
        )?;
        let total = std::iter::once(("all", &self.total));
        let each = self
            .organisations
            .iter()
            .map(|(id, figures)| (id.as_str(), figures));
        for (name, row) in each.chain(total) {
            writeln!(
                f,
                "{name:<16} {:>9} {:>9} {:>6} {:>8} {:>8} {:>7} {:>9} {:>8} {:>8} {:>8} {:>9}",
                row.sent,
                row.answered,
                row.wrong,
                row.not_run,
                row.unknown,
                row.failed,
                row.no_answer,
                row.p50_us,
                row.p99_us,
                row.p999_us,
                row.max_us
            )?;
        }
        Ok(())
    }
}
