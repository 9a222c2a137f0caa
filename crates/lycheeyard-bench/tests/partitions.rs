//! A data centre cut from the store, from its peers and from both, then healed.

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
const LIMIT: Duration = Duration::from_secs(30);

async fn start_with_base() -> (ControlFleet, DataCentreId) {
    let fleet = ControlFleet::start(SIZE).await.expect("a fleet");
    let ticket = large_ticket(SIZE).expect("a ticket");
    let accepted = put_ticket(fleet.members[0].address, &ticket).await;
    let revision = accepted.expect("an accepted ticket");
    fleet
        .wait_for(revision, None, LIMIT)
        .await
        .expect("in force everywhere");
    let ids = SIZE.data_centre_ids().expect("valid names");
    (fleet, ids[2].clone())
}

async fn change(fleet: &ControlFleet, number: u64) -> Revision {
    let ticket = organisation_ticket(number, 0).expect("a ticket");
    let accepted = put_ticket(fleet.members[0].address, &ticket).await;
    accepted.expect("an accepted ticket")
}

#[rstest]
#[case::from_the_store(true, false)]
#[case::from_its_peers(false, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_with_one_way_left_still_follows(#[case] store: bool, #[case] peers: bool) {
    let (fleet, cut) = start_with_base().await;
    fleet.cut_store(&cut, store);
    fleet.cut_peers(&cut, peers);
    let revision = change(&fleet, 2).await;
    let reached = fleet.wait_for(revision, None, LIMIT).await;
    reached.expect("in force everywhere");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_without_any_way_keeps_its_revision_and_catches_up() {
    let (fleet, cut) = start_with_base().await;
    fleet.cut_store(&cut, true);
    fleet.cut_peers(&cut, true);
    let mut revision = Revision(0);
    for number in 2..6 {
        revision = change(&fleet, number).await;
    }
    let rest = fleet.wait_for(revision, Some(&cut), LIMIT).await;
    rest.expect("in force at the rest");
    let inside = fleet.members.iter().filter(|m| m.data_centre == cut);
    assert!(
        inside
            .clone()
            .all(|member| member.revision() == Revision(1))
    );
    let member = inside.clone().next().expect("a member");
    let ticket = organisation_ticket(9, 1).expect("a ticket");
    let refused = put_ticket(member.address, &ticket).await;
    assert!(refused.is_err(), "accepted without the store");
    fleet.cut_store(&cut, false);
    fleet.cut_peers(&cut, false);
    let healed = fleet.wait_for(revision, None, LIMIT).await;
    healed.expect("in force everywhere after the heal");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_gets_its_configuration_from_peers_while_the_store_is_down() {
    let (mut fleet, data_centre) = start_with_base().await;
    fleet.store.faults().change(|faults| faults.down = true);
    let added = fleet.add_member(&data_centre, "newcomer").await;
    added.expect("a new instance");
    let reached = fleet.wait_for(Revision(1), None, LIMIT).await;
    reached.expect("in force at the new instance");
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_watch_does_not_hide_a_change() {
    let (fleet, _) = start_with_base().await;
    fleet.store.faults().silence_open_connections();
    let revision = change(&fleet, 2).await;
    let reached = fleet.wait_for(revision, None, LIMIT).await;
    reached.expect("in force everywhere");
    fleet.stop().await;
}
