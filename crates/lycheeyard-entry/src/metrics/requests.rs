use lycheeyard_metrics::start_metrics;
use lycheeyard_protocol::{Outcome, Problem};
use opentelemetry::{
    KeyValue, global,
    metrics::{Counter, Histogram},
};
use std::{sync::LazyLock, time::Duration};

const DURATION_BOUNDARIES_S: [f64; 13] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

static REQUESTS: LazyLock<RequestMetrics> = LazyLock::new(RequestMetrics::new);

/// Counts the answered calls of this process and measures their duration.
#[derive(Debug)]
pub(crate) struct RequestMetrics {
    requests: Counter<u64>,
    duration: Histogram<f64>,
}

impl RequestMetrics {
    fn new() -> Self {
        start_metrics();
        let meter = global::meter("lycheeyard");
        Self {
            requests: meter
                .u64_counter("lycheeyard_entry_requests")
                .with_description("Answered calls by interface, outcome and problem")
                .build(),
            duration: meter
                .f64_histogram("lycheeyard_entry_request_duration_seconds")
                .with_description("Time from a call's arrival to its answer, by interface")
                .with_boundaries(DURATION_BOUNDARIES_S.to_vec())
                .build(),
        }
    }

    /// Records one answered call; `problem` is `None` if it succeeded.
    pub fn record(interface: &'static str, problem: Option<&Problem>, elapsed: Duration) {
        let outcome = problem.map_or(Outcome::Done, |problem| problem.outcome);
        let kind = problem.map_or_else(|| "none".to_owned(), |problem| problem.title.to_string());
        let interface = KeyValue::new("interface", interface);
        let labels = [
            interface.clone(),
            KeyValue::new("outcome", outcome.to_string()),
            KeyValue::new("problem", kind),
        ];
        REQUESTS.requests.add(1, &labels);
        REQUESTS
            .duration
            .record(elapsed.as_secs_f64(), &[interface]);
    }

    /// The value of the `interface` label for a path, given by its segments.
    pub fn interface(segments: &[&str]) -> &'static str {
        match segments {
            ["livez" | "readyz" | "metrics"] => "probe",
            ["v1", "services", ..] => "service",
            ["v1", "jobs", ..] => "job",
            ["v1", "tickets", ..] => "ticket",
            ["v1", "status" | "audit"] => "operator",
            _ => "other",
        }
    }
}
