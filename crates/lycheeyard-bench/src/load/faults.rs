use super::{FaultEvent, LoadError};
use lycheeyard_clients::JsonClient;
use lycheeyard_standin::FaultSettings;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep_until};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A scheduled fault with the address of its stand-in.
#[derive(Clone, Debug)]
pub(super) struct ScheduledFault {
    due: Duration,
    address: SocketAddr,
    settings: FaultSettings,
}

/// Resolves the targets of fault events to addresses, in order of time.
pub(super) fn resolve_faults(
    events: &[FaultEvent],
    names: &BTreeMap<String, SocketAddr>,
) -> Result<Vec<ScheduledFault>, LoadError> {
    let mut faults: Vec<ScheduledFault> = events
        .iter()
        .map(|event| resolve_fault(event, names))
        .collect::<Result<_, _>>()?;
    faults.sort_by_key(|fault| fault.due);
    Ok(faults)
}

fn resolve_fault(
    event: &FaultEvent,
    names: &BTreeMap<String, SocketAddr>,
) -> Result<ScheduledFault, LoadError> {
    let by_name = names.get(&event.target).copied();
    let address = by_name.or_else(|| event.target.parse().ok());
    Ok(ScheduledFault {
        due: Duration::from_millis(event.at_ms),
        address: address.ok_or_else(|| LoadError::UnknownFaultTarget(event.target.clone()))?,
        settings: event.settings.clone(),
    })
}

/// Applies each fault at its scheduled time.
pub(super) async fn inject_faults(
    faults: Vec<ScheduledFault>,
    start: Instant,
) -> Result<(), LoadError> {
    let client = JsonClient::default();
    for fault in faults {
        sleep_until(start + fault.due).await;
        let deadline = Instant::now() + CALL_TIMEOUT;
        let call = client.post::<_, FaultSettings>(
            fault.address,
            "/standin/faults",
            &fault.settings,
            deadline,
        );
        call.await.map_err(|err| LoadError::Fault {
            address: fault.address,
            reason: err.to_string(),
        })?;
    }
    Ok(())
}
