//! Processes that are killed, frozen and told to end.

use crate::support::{
    api, base, holder, job, lookup, running_tasks, start_with_base, wait_for_revision,
};
use lycheeyard_protocol::{JobState, Outcome, StatusReport, Ticket, TicketNumber, Weight};
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

async fn wait_for_holder(api: lycheeyard_standin::EntryApi) -> String {
    let held = |status: &StatusReport| holder(status).is_some();
    let status = api.wait_for_status(held).await.expect("a holder");
    holder(&status).expect("a holder")
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_scheduler_neither_stops_nor_repeats_running_work() {
    let mut fleet = start_with_base(&[3]).await;
    let entry = api(&fleet, "dc1-e1");
    let first = job(fleet.data_centre(), "org-a", "first", 3);
    entry.submit(&first).await.expect("an answer");
    entry
        .wait_for_job(&first, JobState::Running)
        .await
        .expect("running");
    let before = running_tasks(&fleet);
    let victim = wait_for_holder(entry).await;
    fleet.kill(&victim).expect("killed");
    let survivor = api(&fleet, &fleet.names()[0]);
    let second = job(fleet.data_centre(), "org-a", "second", 2);
    survivor.submit(&second).await.expect("an answer");
    survivor
        .wait_for_job(&second, JobState::Running)
        .await
        .expect("running");
    let view = survivor.job(&first).await.expect("the first job");
    assert_eq!(view.record.state, JobState::Running);
    assert_eq!(view.record.attempts, 1);
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_scheduler_that_wakes_does_no_harm() {
    let fleet = start_with_base(&[3]).await;
    let victim = wait_for_holder(api(&fleet, "dc1-e1")).await;
    fleet.signal(&victim, "STOP").expect("frozen");
    let names = fleet.names();
    let survivor = names
        .iter()
        .find(|name| **name != victim)
        .expect("a survivor");
    let during = job(fleet.data_centre(), "org-a", "during", 4);
    let survivor = api(&fleet, survivor);
    survivor.submit(&during).await.expect("an answer");
    survivor
        .wait_for_job(&during, JobState::Running)
        .await
        .expect("running");
    let before = running_tasks(&fleet);
    fleet.signal(&victim, "CONT").expect("woken");
    let agreed = |status: &StatusReport| {
        let all = std::iter::once(&status.instance).chain(&status.peers);
        status.peers.len() == 2 && all.filter(|one| one.scheduler_epoch.is_some()).count() == 1
    };
    let woken = api(&fleet, &victim);
    let status = woken.wait_for_status(agreed).await.expect("one holder");
    assert_ne!(holder(&status), Some(victim));
    let after = job(fleet.data_centre(), "org-b", "after", 2);
    woken.submit(&after).await.expect("an answer");
    woken
        .wait_for_job(&after, JobState::Running)
        .await
        .expect("running");
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn running_work_survives_the_loss_of_every_entry_instance() {
    let mut fleet = start_with_base(&[2]).await;
    let lasting = job(fleet.data_centre(), "org-a", "lasting", 5);
    let entry = api(&fleet, "dc1-e1");
    entry.submit(&lasting).await.expect("an answer");
    entry
        .wait_for_job(&lasting, JobState::Running)
        .await
        .expect("running");
    let before = running_tasks(&fleet);
    fleet.kill("dc1-e1").expect("killed");
    fleet.kill("dc1-e2").expect("killed");
    fleet.start_entry("dc1-e3").await.expect("started");
    let entry = api(&fleet, "dc1-e3");
    wait_for_holder(entry).await;
    let view = entry
        .wait_for_job(&lasting, JobState::Running)
        .await
        .expect("running");
    assert_eq!(view.record.attempts, 1);
    assert_eq!(running_tasks(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn termination_under_load_cuts_no_request() {
    let mut fleet = start_with_base(&[2]).await;
    let entry = api(&fleet, "dc1-e1");
    let mut requests = JoinSet::new();
    for number in 0..40 {
        requests.spawn(async move {
            lookup(entry, &format!("lookup {number}"), 300_000).await;
        });
    }
    sleep(Duration::from_millis(150)).await;
    fleet.signal("dc1-e1", "TERM").expect("told to end");
    while let Some(done) = requests.join_next().await {
        done.expect("answered whole");
    }
    assert!(fleet.wait_for_exit("dc1-e1").await.expect("it ends"));
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_leaves_lookups_and_refuses_tickets_truthfully() {
    let fleet = start_with_base(&[2]).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = true);
    lookup(api(&fleet, "dc1-e1"), "during", 1000).await;
    let second = api(&fleet, "dc1-e2");
    let refused = second
        .put_ticket(&base(&fleet, 2))
        .await
        .expect("an answer");
    assert!(!refused.status.is_success());
    assert_eq!(refused.outcome, Some(Outcome::NotRun));
    assert!(fleet.standins.store.entries("tickets/2/").is_empty());
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = false);
    while !second
        .put_ticket(&base(&fleet, 2))
        .await
        .expect("an answer")
        .status
        .is_success()
    {
        sleep(Duration::from_millis(100)).await;
    }
    wait_for_revision(api(&fleet, "dc1-e1"), 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_ticket_survives_its_instance() {
    let mut fleet = start_with_base(&[2]).await;
    let reply = api(&fleet, "dc1-e1")
        .put_ticket(&base(&fleet, 2))
        .await
        .expect("an answer");
    assert!(reply.status.is_success());
    fleet.kill("dc1-e1").expect("killed");
    wait_for_revision(api(&fleet, "dc1-e2"), 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_that_every_instance_agrees_on() {
    let fleet = start_with_base(&[3]).await;
    let with_weight = |weight: u32| -> Ticket {
        let mut ticket = base(&fleet, 7);
        for organisation in &mut ticket.organisations {
            organisation.weight = Weight(weight);
        }
        ticket
    };
    let mut races = JoinSet::new();
    for (weight, name) in (10..).zip(fleet.names()) {
        let ticket = with_weight(weight);
        let entry = api(&fleet, &name);
        races.spawn(async move { entry.put_ticket(&ticket).await });
    }
    let mut accepted = 0;
    while let Some(reply) = races.join_next().await {
        let reply = reply.expect("no panic").expect("an answer");
        if reply.status.is_success() {
            accepted += 1;
        } else {
            assert_eq!(reply.status.as_u16(), 409);
            assert_eq!(reply.outcome, Some(Outcome::NotRun));
        }
    }
    assert_eq!(accepted, 1);
    let below = Ticket {
        number: TicketNumber(6),
        ..with_weight(99)
    };
    for name in fleet.names() {
        let entry = api(&fleet, &name);
        wait_for_revision(entry, 2).await;
        let reply = entry.put_ticket(&below).await.expect("an answer");
        assert_eq!(reply.status.as_u16(), 409);
    }
}
