use super::LoadMode;
use lycheeyard_protocol::OrganisationId;
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, fmt};

/// The results of one organisation or of all together. Latencies are measured from the scheduled time of a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrganisationReport {
    /// Requests that were scheduled.
    pub sent: u64,
    /// Requests with a complete and correct response.
    pub answered: u64,
    /// Requests with a response that was incomplete or belonged to another request.
    pub wrong: u64,
    /// Requests that were rejected before they ran.
    pub not_run: u64,
    /// Requests that failed with an unknown outcome: they may have run.
    pub unknown: u64,
    /// Requests that the upstream answered with an error.
    pub failed: u64,
    /// Requests without a response before their deadline.
    pub no_answer: u64,
    /// Median latency of answered requests in microseconds.
    pub p50_us: u64,
    /// 90th percentile of the latency in microseconds.
    pub p90_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p999_us: u64,
    /// The highest latency in microseconds.
    pub max_us: u64,
}

/// The results of one second of the run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SecondReport {
    /// Requests that were scheduled in this second.
    pub sent: u64,
    /// Those with a complete and correct response.
    pub answered: u64,
    /// The highest latency in microseconds.
    pub slowest_us: u64,
}

/// The results of a load run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// How requests were sent.
    pub mode: LoadMode,
    /// The duration without the warm-up, in milliseconds.
    pub measured_ms: u64,
    /// The results of all organisations together.
    pub total: OrganisationReport,
    /// The results of each organisation.
    pub organisations: BTreeMap<OrganisationId, OrganisationReport>,
    /// The results of each second of the run, by its number.
    pub seconds: BTreeMap<u64, SecondReport>,
}

impl LoadReport {
    /// Answered requests per second.
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
