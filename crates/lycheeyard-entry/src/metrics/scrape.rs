use crate::node::Shared;
use lycheeyard_metrics::{encode_metrics, start_metrics};
use opentelemetry::{global, metrics::Gauge};
use std::sync::LazyLock;

static GAUGES: LazyLock<InstanceGauges> = LazyLock::new(InstanceGauges::new);

/// Gauges of one instance, recorded at each scrape.
#[derive(Debug)]
struct InstanceGauges {
    revision: Gauge<u64>,
    epoch: Gauge<u64>,
    ready: Gauge<u64>,
    peers: Gauge<u64>,
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
    }
}

/// Encodes the metrics of the process in the Prometheus text format, with the gauges of this instance.
pub(crate) fn scrape(shared: &Shared) -> String {
    start_metrics();
    GAUGES.record(shared);
    encode_metrics()
}
