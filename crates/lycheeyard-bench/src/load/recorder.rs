use super::{LoadDocument, LoadError, LoadReport, OrganisationReport, SecondReport};
use hdrhistogram::Histogram;
use lycheeyard_protocol::Outcome;
use std::{collections::BTreeMap, time::Duration};

const HIGHEST_MICROS: u64 = 600_000_000;
const DIGITS: u8 = 3;

/// What became of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Seen {
    /// A whole answer to the request itself.
    Answered,
    /// An answer that is not the request's own or not whole.
    Wrong,
    /// A refusal with this outcome.
    Refused(Outcome),
    /// No answer before the deadline.
    NoAnswer,
}

/// One finished request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub organisation: usize,
    pub due: Duration,
    pub latency: Duration,
    pub seen: Seen,
}

#[derive(Clone, Debug)]
struct OrganisationFigures {
    latency: Histogram<u64>,
    seen: BTreeMap<Seen, u64>,
}

/// Gathers samples into a report.
#[derive(Clone, Debug)]
pub(super) struct Recorder {
    organisations: Vec<OrganisationFigures>,
    seconds: BTreeMap<u64, SecondReport>,
    warm_up: Duration,
}

impl Recorder {
    /// Makes an empty recorder for a document.
    pub fn new(document: &LoadDocument) -> Result<Self, LoadError> {
        let figures = OrganisationFigures {
            latency: Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS)?,
            seen: BTreeMap::new(),
        };
        Ok(Self {
            organisations: vec![figures; document.organisations.len()],
            seconds: BTreeMap::new(),
            warm_up: Duration::from_millis(document.warm_up_ms),
        })
    }

    /// Takes a sample in; those of the warm-up are left out.
    pub fn record(&mut self, sample: Sample) {
        if sample.due < self.warm_up {
            return;
        }
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        let second = self.seconds.entry(sample.due.as_secs()).or_default();
        second.sent += 1;
        if let Some(figures) = self.organisations.get_mut(sample.organisation) {
            *figures.seen.entry(sample.seen).or_default() += 1;
            if sample.seen == Seen::Answered {
                second.answered += 1;
                second.slowest_us = second.slowest_us.max(micros);
                figures.latency.saturating_record(micros.max(1));
            }
        }
    }

    /// The report of a run.
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
                // Both histograms have the same bounds, so that adding cannot fail.
                let _ = total.latency.add(&figures.latency);
                for (seen, count) in &figures.seen {
                    *total.seen.entry(*seen).or_default() += count;
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

impl OrganisationFigures {
    fn report(&self) -> OrganisationReport {
        let count = |seen| self.seen.get(&seen).copied().unwrap_or(0);
        let at = |quantile| self.latency.value_at_quantile(quantile);
        OrganisationReport {
            sent: self.seen.values().sum(),
            answered: count(Seen::Answered),
            wrong: count(Seen::Wrong),
            not_run: count(Seen::Refused(Outcome::NotRun)),
            unknown: count(Seen::Refused(Outcome::Unknown)),
            failed: count(Seen::Refused(Outcome::Done)),
            no_answer: count(Seen::NoAnswer),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: self.latency.max(),
        }
    }
}
