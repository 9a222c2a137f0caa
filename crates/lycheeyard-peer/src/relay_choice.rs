use crate::Membership;
use lycheeyard_protocol::{DataCentreId, InstanceId};

/// The number of instances of a data centre that watch the store and exchange heartbeats with other data
/// centres on behalf of the rest.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Whether an instance is one of the relays of its data centre: the first by name among those live now.
///
/// Views may differ for a while; then there are more relays than needed, or the slow poll of an instance
/// that hears nobody takes their place.
#[must_use]
pub fn is_relay(
    membership: &Membership,
    instance: &InstanceId,
    data_centre: &DataCentreId,
) -> bool {
    let peers = membership.live_peers();
    let before = peers
        .iter()
        .filter(|view| view.report.data_centre == *data_centre && view.report.instance < *instance);
    before.count() < RELAYS_PER_DATA_CENTRE
}
