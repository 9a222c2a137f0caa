use crate::CallClass;
use opentelemetry::{KeyValue, global, metrics::Counter};
use std::sync::LazyLock;
use strum::IntoStaticStr;

static STORE: LazyLock<StoreMetrics> = LazyLock::new(StoreMetrics::new);

/// What became of an attempt to call the store.
#[derive(Clone, Copy, Debug, Eq, IntoStaticStr, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallFate {
    /// The store answered.
    Answered,
    /// It did not, or said that it is at fault.
    Failed,
    /// The call was not sent, as it was over its budget.
    OverBudget,
    /// The call was not sent, as the store failed lately.
    Suspended,
}

/// Counts the store calls of this process.
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
pub(crate) fn count_store_call(class: CallClass, fate: CallFate) {
    let labels = [
        KeyValue::new("class", class.to_string()),
        KeyValue::new("fate", <&'static str>::from(fate)),
    ];
    STORE.calls.add(1, &labels);
}
