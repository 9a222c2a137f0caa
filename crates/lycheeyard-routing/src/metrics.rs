use crate::{AnswerSource, RouteAnswer, RouteError};
use opentelemetry::{KeyValue, global, metrics::Counter};

/// The counters of the request path.
#[derive(Debug)]
pub(crate) struct Metrics {
    requests: Counter<u64>,
    done: [KeyValue; 1],
    replayed: [KeyValue; 1],
    forwarded: [KeyValue; 1],
}

impl Default for Metrics {
    fn default() -> Self {
        let meter = global::meter("lycheeyard");
        let result = |name: &'static str| [KeyValue::new("result", name)];
        Self {
            requests: meter
                .u64_counter("lycheeyard_routing_requests")
                .with_description("Requests by result")
                .build(),
            done: result("done"),
            replayed: result("kept"),
            forwarded: result("hopped"),
        }
    }
}

impl Metrics {
    /// Counts a request by its result.
    pub fn count(&self, result: &Result<RouteAnswer, RouteError>) {
        match result {
            Ok(answer) => match answer.source {
                AnswerSource::Runner(_) => self.requests.add(1, &self.done),
                AnswerSource::Replayed(_) => self.requests.add(1, &self.replayed),
                AnswerSource::DataCentre(..) => self.requests.add(1, &self.forwarded),
            },
            Err(err) => {
                let outcome = err.outcome().to_string();
                self.requests.add(1, &[KeyValue::new("result", outcome)]);
            }
        }
    }
}
