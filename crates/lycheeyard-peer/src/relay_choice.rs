use crate::Membership;
use lycheeyard_protocol::{DataCentreId, InstanceId};

/// The number of instances of a data centre that watch the store and exchange heartbeats with other data
/// centres on behalf of the rest.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Whether an instance is one of the relays of its data centre: the first by name among the live ones.
///
/// Instances may disagree for a while about which peers are live. Then there are more relays than needed, or
/// too few. In the latter case the slow poll of an instance without live peers replaces the relays.
#[must_use]
pub fn is_relay(
    membership: &Membership,
    instance: &InstanceId,
    data_centre: &DataCentreId,
) -> bool {
    let peers = membership.live_peers();
    let preceding = peers
        .iter()
        .filter(|view| view.report.data_centre == *data_centre && view.report.instance < *instance);
    preceding.count() < RELAYS_PER_DATA_CENTRE
}
