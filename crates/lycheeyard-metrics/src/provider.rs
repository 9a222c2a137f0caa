use opentelemetry::global;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Registry;
use std::sync::OnceLock;
use tracing::warn;

static REGISTRY: OnceLock<Registry> = OnceLock::new();

/// Returns the metrics registry of the process. The first call creates it and installs the global meter provider.
///
/// Instruments that are created before the first call record nothing.
pub fn start_metrics() -> &'static Registry {
    REGISTRY.get_or_init(|| {
        let registry = Registry::new();
        install(&registry);
        registry
    })
}

fn install(registry: &Registry) {
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .without_units()
        .without_scope_info()
        .without_target_info()
        .build();
    match exporter {
        Ok(exporter) => {
            let provider = SdkMeterProvider::builder().with_reader(exporter).build();
            global::set_meter_provider(provider);
        }
        Err(err) => {
            warn!("metrics: the exporter could not be created, so no metrics are exported: {err}");
        }
    }
}
