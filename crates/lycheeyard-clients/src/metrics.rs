use crate::CallClass;
use opentelemetry::{KeyValue, global, metrics::Counter};
use std::sync::LazyLock;
use strum::IntoStaticStr;

static STORE: LazyLock<StoreMetrics> = LazyLock::new(StoreMetrics::new);

/// The outcome of an attempt to call the store, as a metric label.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallOutcome {
    /// The store responded.
    Answered,
    /// The store did not respond, or responded with a server error.
    Failed,
    /// The call was not sent, as it would have exceeded its rate limit.
    #[strum(serialize = "over-budget")]
    RateLimited,
    /// The call was not sent, as the circuit breaker was open.
    #[strum(serialize = "suspended")]
    CircuitOpen,
}

#[derive(Debug)]
struct StoreMetrics {
    calls: Counter<u64>,
}

impl StoreMetrics {
    fn new() -> Self {
        let calls = global::meter("lycheeyard")
            .u64_counter("lycheeyard_platform_store_calls")
            .with_description("Store calls by class and fate")
            .build();
        Self { calls }
    }
}

/// Counts one store call.
pub(crate) fn count_store_call(class: CallClass, outcome: CallOutcome) {
    let labels = [
        KeyValue::new("class", class.to_string()),
        KeyValue::new("fate", <&'static str>::from(outcome)),
    ];
    STORE.calls.add(1, &labels);
}
