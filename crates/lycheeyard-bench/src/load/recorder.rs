use super::{LoadDocument, LoadError, LoadReport, OrganisationReport, SecondReport};
use hdrhistogram::Histogram;
use lycheeyard_protocol::Outcome;
use std::{collections::BTreeMap, time::Duration};

const MAX_LATENCY_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of one request from the point of view of its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum RequestResult {
    /// A complete response to this request.
    Answered,
    /// A response that is incomplete or belongs to another request.
    WrongResponse,
    /// An error response with this outcome.
    ErrorResponse(Outcome),
    /// No response before the deadline.
    NoResponse,
}

/// The measurements of one finished request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub organisation: usize,
    pub due: Duration,
    pub latency: Duration,
    pub result: RequestResult,
}

#[derive(Clone, Debug)]
struct OrganisationRecorder {
    latency: Histogram<u64>,
    results: BTreeMap<RequestResult, u64>,
}

/// Aggregates samples into a report.
#[derive(Clone, Debug)]
pub(super) struct Recorder {
    organisations: Vec<OrganisationRecorder>,
    seconds: BTreeMap<u64, SecondReport>,
    warm_up: Duration,
}

impl Recorder {
    /// Creates an empty recorder for a load document.
    pub fn new(document: &LoadDocument) -> Result<Self, LoadError> {
        let figures = OrganisationRecorder {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            results: BTreeMap::new(),
        };
        Ok(Self {
            organisations: vec![figures; document.organisations.len()],
            seconds: BTreeMap::new(),
            warm_up: Duration::from_millis(document.warm_up_ms),
        })
    }

    /// Records a sample, unless it belongs to the warm-up.
    pub fn record(&mut self, sample: Sample) {
        if sample.due < self.warm_up {
            return;
        }
        let latency_us = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        let second = self.seconds.entry(sample.due.as_secs()).or_default();
        second.sent += 1;
        if let Some(figures) = self.organisations.get_mut(sample.organisation) {
            *figures.results.entry(sample.result).or_default() += 1;
            if sample.result == RequestResult::Answered {
                second.answered += 1;
                second.slowest_us = second.slowest_us.max(latency_us);
                figures.latency.saturating_record(latency_us.max(1));
            }
        }
    }

    /// Builds the report of the run.
    pub fn report(&self, document: &LoadDocument) -> LoadReport {
        let organisations = document
            .organisations
            .iter()
            .zip(&self.organisations)
            .map(|(share, figures)| (share.id.clone(), figures.report()))
            .collect();
        let mut all = self.organisations.iter();
        let mut total = all.next().cloned();
        if let Some(total) = &mut total {
            for figures in all {
                // Adding cannot fail, since both histograms have the same bounds.
                let _ = total.latency.add(&figures.latency);
                for (result, count) in &figures.results {
                    *total.results.entry(*result).or_default() += count;
                }
            }
        }
        let measured_ms = document.duration_ms.saturating_sub(document.warm_up_ms);
        LoadReport {
            mode: document.mode,
            measured_ms,
            total: total.map(|figures| figures.report()).unwrap_or_default(),
            organisations,
            seconds: self.seconds.clone(),
        }
    }
}

impl OrganisationRecorder {
    fn report(&self) -> OrganisationReport {
        let count = |result| self.results.get(&result).copied().unwrap_or(0);
        let at = |quantile| self.latency.value_at_quantile(quantile);
        OrganisationReport {
            sent: self.results.values().sum(),
            answered: count(RequestResult::Answered),
            wrong: count(RequestResult::WrongResponse),
            not_run: count(RequestResult::ErrorResponse(Outcome::NotRun)),
            unknown: count(RequestResult::ErrorResponse(Outcome::Unknown)),
            failed: count(RequestResult::ErrorResponse(Outcome::Done)),
            no_answer: count(RequestResult::NoResponse),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: self.latency.max(),
        }
    }
}
