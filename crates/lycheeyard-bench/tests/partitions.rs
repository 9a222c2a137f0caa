//! Guards against a data centre that misses configuration changes: partitioned from the store, from its peers or from both,
//! at the start of an instance, and with a store watch that is silent but stays open.

use lycheeyard_bench::{ControlFleet, FleetSize, large_ticket, organisation_ticket, put_ticket};
use lycheeyard_protocol::{DataCentreId, Revision};
use rstest::rstest;
use std::time::Duration;

const SIZE: FleetSize = FleetSize {
    data_centres: 3,
    instances: 2,
    workers: 4,
    organisations: 3,
};
const TIMEOUT: Duration = Duration::from_secs(30);

async fn start_configured_fleet() -> (ControlFleet, DataCentreId) {
    let fleet = ControlFleet::start(SIZE).await.expect("fleet starts");
    let ticket = large_ticket(SIZE).expect("generated names are valid");
    let accepted = put_ticket(fleet.members[0].address, &ticket).await;
    let revision = accepted.expect("ticket is accepted");
    fleet
        .wait_for_revision(revision, None, TIMEOUT)
        .await
        .expect("revision is in effect at every instance");
    let ids = SIZE.data_centre_ids().expect("generated names are valid");
    (fleet, ids[2].clone())
}

async fn submit_change(fleet: &ControlFleet, number: u64) -> Revision {
    let ticket = organisation_ticket(number, 0).expect("generated names are valid");
    let accepted = put_ticket(fleet.members[0].address, &ticket).await;
    accepted.expect("ticket is accepted")
}

#[rstest]
#[case::store_partitioned(true, false)]
#[case::peers_partitioned(false, true)]
#[tokio::test(flavor = "multi_thread")]
async fn applies_change_over_remaining_link(#[case] store: bool, #[case] peers: bool) {
    let (fleet, partitioned) = start_configured_fleet().await;
    fleet.set_store_partitioned(&partitioned, store);
    fleet.set_peers_partitioned(&partitioned, peers);
    let revision = submit_change(&fleet, 2).await;
    let reached = fleet.wait_for_revision(revision, None, TIMEOUT).await;
    reached.expect("revision is in effect at every instance");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_data_centre_keeps_revision_and_catches_up_after_heal() {
    let (fleet, partitioned) = start_configured_fleet().await;
    fleet.set_store_partitioned(&partitioned, true);
    fleet.set_peers_partitioned(&partitioned, true);
    let mut revision = Revision(0);
    for number in 2..6 {
        revision = submit_change(&fleet, number).await;
    }
    let others = fleet
        .wait_for_revision(revision, Some(&partitioned), TIMEOUT)
        .await;
    others.expect("revision is in effect at the other data centres");
    let partitioned_members = fleet
        .members
        .iter()
        .filter(|m| m.data_centre == partitioned);
    assert!(
        partitioned_members
            .clone()
            .all(|member| member.revision() == Revision(1))
    );
    let member = partitioned_members
        .clone()
        .next()
        .expect("data centre has an instance");
    let ticket = organisation_ticket(9, 1).expect("generated names are valid");
    let refused = put_ticket(member.address, &ticket).await;
    assert!(refused.is_err(), "ticket was accepted without the store");
    fleet.set_store_partitioned(&partitioned, false);
    fleet.set_peers_partitioned(&partitioned, false);
    let healed = fleet.wait_for_revision(revision, None, TIMEOUT).await;
    healed.expect("revision is in effect at every instance after the heal");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn new_instance_gets_configuration_from_peers_when_store_is_down() {
    let (mut fleet, data_centre) = start_configured_fleet().await;
    fleet.store.faults().change(|faults| faults.down = true);
    let added = fleet.add_member(&data_centre, "newcomer").await;
    added.expect("new instance starts");
    let reached = fleet.wait_for_revision(Revision(1), None, TIMEOUT).await;
    reached.expect("revision is in effect at the new instance");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn applies_change_when_store_watch_is_silent() {
    let (fleet, _) = start_configured_fleet().await;
    fleet.store.faults().silence_open_connections();
    let revision = submit_change(&fleet, 2).await;
    let reached = fleet.wait_for_revision(revision, None, TIMEOUT).await;
    reached.expect("revision is in effect at every instance");
    fleet.stop().await;
}
