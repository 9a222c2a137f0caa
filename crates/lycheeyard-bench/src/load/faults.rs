use super::{FaultEvent, LoadError};
use lycheeyard_clients::JsonClient;
use lycheeyard_standin::FaultSettings;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep_until};

const CALL: Duration = Duration::from_secs(2);

/// A fault whose stand-in has been found.
#[derive(Clone, Debug)]
pub(super) struct DueFault {
    due: Duration,
    address: SocketAddr,
    settings: FaultSettings,
}

/// Finds the stand-ins that the faults name.
pub(super) fn resolve(
    events: &[FaultEvent],
    names: &BTreeMap<String, SocketAddr>,
) -> Result<Vec<DueFault>, LoadError> {
    let mut due: Vec<DueFault> = events
        .iter()
        .map(|event| resolve_one(event, names))
        .collect::<Result<_, _>>()?;
    due.sort_by_key(|fault| fault.due);
    Ok(due)
}

fn resolve_one(
    event: &FaultEvent,
    names: &BTreeMap<String, SocketAddr>,
) -> Result<DueFault, LoadError> {
    let known = names.get(&event.target).copied();
    let address = known.or_else(|| event.target.parse().ok());
    Ok(DueFault {
        due: Duration::from_millis(event.at_ms),
        address: address.ok_or_else(|| LoadError::UnknownFaultTarget(event.target.clone()))?,
        settings: event.settings.clone(),
    })
}

/// Sets each fault when it is due.
pub(super) async fn inject(faults: Vec<DueFault>, start: Instant) -> Result<(), LoadError> {
    let client = JsonClient::default();
    for fault in faults {
        sleep_until(start + fault.due).await;
        let deadline = Instant::now() + CALL;
        let set = client.post::<_, FaultSettings>(
            fault.address,
            "/standin/faults",
            &fault.settings,
            deadline,
        );
        set.await.map_err(|err| LoadError::Fault {
            address: fault.address,
            reason: err.to_string(),
        })?;
    }
    Ok(())
}
