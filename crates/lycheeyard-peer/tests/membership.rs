//! Replaced instances, silent peers, one-way loss and reports that waited out a pause.

use lycheeyard_peer::{LeavingRunner, Membership, PeerReport, is_relay};
use lycheeyard_protocol::{DataCentreId, Incarnation, InstanceId, Revision, Timestamp};
use std::time::Duration;
use tokio::time::advance;

fn data_centre() -> DataCentreId {
    "dc1".parse().expect("a valid name")
}

fn report(instance: &str, life: u64, sent_at: Timestamp) -> PeerReport {
    PeerReport {
        instance: instance.parse().expect("a valid name"),
        incarnation: Incarnation(life),
        data_centre: data_centre(),
        revision: Revision(life),
        scheduler_epoch: None,
        leaving: Vec::new(),
        sent_at,
    }
}

fn live(membership: &Membership) -> Vec<(String, u64)> {
    let views = membership.live_peers();
    let named = views
        .iter()
        .map(|view| (view.report.instance.to_string(), view.report.incarnation.0));
    named.collect()
}

#[tokio::test(start_paused = true)]
async fn a_silent_peer_is_dropped() {
    let membership = Membership::default();
    membership.observe_answer(report("e1", 1, Timestamp::now()));
    advance(Duration::from_millis(2_900)).await;
    assert_eq!(live(&membership).len(), 1);
    advance(Duration::from_millis(200)).await;
    assert_eq!(live(&membership).len(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_does_not_hear_this_instance_is_not_live() {
    let membership = Membership::default();
    membership.observe_call(report("e1", 1, Timestamp::now()), false);
    assert!(live(&membership).is_empty());
    assert!(membership.has_recent_heartbeat_from("e1"));
    membership.observe_call(report("e1", 1, Timestamp::now()), true);
    assert_eq!(live(&membership).len(), 1);
    for _ in 0..4 {
        advance(Duration::from_secs(1)).await;
        membership.observe_call(report("e1", 1, Timestamp::now()), false);
    }
    assert!(live(&membership).is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_earlier_life_does_not_replace_a_later_one() {
    let membership = Membership::default();
    let now = Timestamp::now();
    membership.observe_answer(report("e1", 2, now));
    membership.observe_answer(report("e1", 1, now.after(Duration::from_millis(5))));
    assert_eq!(live(&membership), [("e1".to_owned(), 2)]);
}

#[tokio::test(start_paused = true)]
async fn a_report_that_waited_out_a_pause_proves_nothing() {
    let membership = Membership::default();
    let old = Timestamp(Timestamp::now().0 - 60_000);
    membership.observe_answer(report("e1", 1, old));
    assert!(live(&membership).is_empty());
}

#[tokio::test(start_paused = true)]
async fn the_first_two_live_instances_are_the_relays() {
    let membership = Membership::default();
    for name in ["e1", "e2", "e4"] {
        membership.observe_answer(report(name, 1, Timestamp::now()));
    }
    let own: InstanceId = "e3".parse().expect("a valid name");
    assert!(!is_relay(&membership, &own, &data_centre()));
    advance(Duration::from_secs(4)).await;
    membership.observe_answer(report("e2", 1, Timestamp::now()));
    assert!(is_relay(&membership, &own, &data_centre()));
}

#[tokio::test(start_paused = true)]
async fn a_leaving_mark_is_announced_once_and_pruned_with_its_life() {
    let membership = Membership::default();
    let mut news = membership.announcements();
    let runner = LeavingRunner {
        runner: "u1".parse().expect("a valid name"),
        incarnation: Incarnation(1),
    };
    membership.mark_leaving(runner.clone());
    assert!(news.has_changed().expect("an open channel"));
    news.mark_unchanged();
    membership.mark_leaving(runner.clone());
    assert!(!news.has_changed().expect("an open channel"));
    membership.prune_leaving(|marked| marked.incarnation >= Incarnation(1));
    assert!(membership.is_leaving(&runner));
    membership.prune_leaving(|marked| marked.incarnation >= Incarnation(2));
    assert!(!membership.is_leaving(&runner));
}

#[tokio::test(start_paused = true)]
async fn a_newer_revision_is_news_once_its_peer_is_live() {
    let membership = Membership::default();
    let newest = membership.newest_revision();
    membership.observe_call(report("e1", 3, Timestamp::now()), false);
    assert!(!newest.has_changed().expect("an open channel"));
    membership.observe_answer(report("e1", 3, Timestamp::now()));
    assert!(newest.has_changed().expect("an open channel"));
    assert_eq!(*newest.borrow(), Revision(3));
}
