use crate::node::Shared;
use lycheeyard_metrics::{encode_metrics, start_metrics};
use lycheeyard_protocol::EvacuationStart;
use lycheeyard_state::Configuration;
use opentelemetry::{KeyValue, global, metrics::Gauge};
use std::sync::LazyLock;

static GAUGES: LazyLock<InstanceGauges> = LazyLock::new(InstanceGauges::new);

/// Gauges of one instance, recorded at each scrape.
#[derive(Debug)]
struct InstanceGauges {
    revision: Gauge<u64>,
    epoch: Gauge<u64>,
    ready: Gauge<u64>,
    peers: Gauge<u64>,
    requests_in_flight: Gauge<u64>,
    evacuated_since: Gauge<u64>,
}

impl InstanceGauges {
    fn new() -> Self {
        let meter = global::meter("lycheeyard");
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        Self {
            revision: gauge(
                "lycheeyard_entry_revision",
                "Configuration revision that is in force at this instance",
            ),
            epoch: gauge(
                "lycheeyard_entry_scheduler_epoch",
                "Scheduler epoch that this instance holds, or 0",
            ),
            ready: gauge(
                "lycheeyard_entry_ready",
                "1 when callers should be sent to this instance, or 0",
            ),
            peers: gauge("lycheeyard_entry_live_peers", "Live peers of this instance"),
            requests_in_flight: gauge(
                "lycheeyard_entry_requests_in_flight",
                "Requests that this instance has in flight at runners of its data centre",
            ),
            evacuated_since: gauge(
                "lycheeyard_entry_evacuated_since_seconds",
                "Unix time at which the evacuation of a data centre began, or 0",
            ),
        }
    }

    fn record(&self, shared: &Shared) {
        let own = shared.peer_report();
        let epoch = own.scheduler_epoch.map_or(0, |epoch| epoch.0);
        let peers = shared.membership.live_peers().len();
        self.revision.record(own.revision.0, &[]);
        self.epoch.record(epoch, &[]);
        self.ready.record(u64::from(shared.is_ready()), &[]);
        self.peers.record(peers as u64, &[]);
        self.requests_in_flight
            .record(own.requests_in_flight.into(), &[]);
        self.record_evacuations(&shared.configuration());
    }

    /// Records every configured data centre, so that the gauge returns to 0 when an evacuation ends.
    fn record_evacuations(&self, config: &Configuration) {
        for id in config.data_centres.keys() {
            let start = config.evacuations.get(id);
            let since_s = start.map_or(0, since_seconds);
            let label = KeyValue::new("data_centre", id.to_string());
            self.evacuated_since.record(since_s, &[label]);
        }
    }
}

/// The start of an evacuation in seconds; 1 if its time was not recorded, since 0 means that there is none.
fn since_seconds(start: &EvacuationStart) -> u64 {
    start.since.map_or(1, |since| since.0 / 1_000)
}

/// Encodes the metrics of the process in the Prometheus text format, with the gauges of this instance.
pub(crate) fn scrape(shared: &Shared) -> String {
    start_metrics();
    GAUGES.record(shared);
    encode_metrics()
}
