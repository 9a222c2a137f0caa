//! Entry processes that are killed, paused or terminated.
//!
//! Guards against the loss or the repetition of running tasks, of requests in flight and of accepted tickets.

use crate::support::{
    api, base_ticket, holder, job, lookup, running_tasks, start_with_base_ticket, submit_and_wait,
    wait_for_revision,
};
use lycheeyard_protocol::{JobState, Outcome, StatusReport, Ticket, TicketNumber, Weight};
use std::time::Duration;
use tokio::{task::JoinSet, time::sleep};

async fn wait_for_holder(api: lycheeyard_standin::EntryApi) -> String {
    let has_holder = |status: &StatusReport| holder(status).is_some();
    let status = api
        .wait_for_status(has_holder)
        .await
        .expect("an instance holds the scheduler lease");
    holder(&status).expect("an instance holds the scheduler lease")
}

#[tokio::test(flavor = "multi_thread")]
async fn running_job_survives_kill_of_scheduler() {
    let mut fleet = start_with_base_ticket(&[3]).await;
    let entry = api(&fleet, "dc1-e1");
    let first = job(fleet.data_centre(), "org-a", "first", 3);
    submit_and_wait(entry, &first).await;
    let before = running_tasks(&fleet);
    let killed = wait_for_holder(entry).await;
    fleet.kill(&killed).expect("process is killed");
    let survivor = api(&fleet, &fleet.names()[0]);
    let second = job(fleet.data_centre(), "org-a", "second", 2);
    submit_and_wait(survivor, &second).await;
    let view = survivor.job(&first).await.expect("first job is stored");
    assert_eq!(view.record.state, JobState::Running);
    assert_eq!(view.record.attempts, 1);
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed_scheduler_does_not_disturb_running_jobs() {
    let fleet = start_with_base_ticket(&[3]).await;
    let paused = wait_for_holder(api(&fleet, "dc1-e1")).await;
    fleet.signal(&paused, "STOP").expect("process is paused");
    let names = fleet.names();
    let survivor = names
        .iter()
        .find(|name| **name != paused)
        .expect("another instance runs");
    let during = job(fleet.data_centre(), "org-a", "during", 4);
    let survivor = api(&fleet, survivor);
    submit_and_wait(survivor, &during).await;
    let before = running_tasks(&fleet);
    fleet.signal(&paused, "CONT").expect("process is resumed");
    let has_one_holder = |status: &StatusReport| {
        let all = std::iter::once(&status.instance).chain(&status.peers);
        status.peers.len() == 2
            && all
                .filter(|instance| instance.scheduler_epoch.is_some())
                .count()
                == 1
    };
    let resumed = api(&fleet, &paused);
    let status = resumed
        .wait_for_status(has_one_holder)
        .await
        .expect("one instance holds the lease");
    assert_ne!(holder(&status), Some(paused));
    let after = job(fleet.data_centre(), "org-b", "after", 2);
    submit_and_wait(resumed, &after).await;
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn running_job_survives_loss_of_all_entry_instances() {
    let mut fleet = start_with_base_ticket(&[2]).await;
    let long_running = job(fleet.data_centre(), "org-a", "lasting", 5);
    let entry = api(&fleet, "dc1-e1");
    submit_and_wait(entry, &long_running).await;
    let before = running_tasks(&fleet);
    fleet.kill("dc1-e1").expect("process is killed");
    fleet.kill("dc1-e2").expect("process is killed");
    fleet
        .start_entry("dc1-e3")
        .await
        .expect("entry process starts");
    let entry = api(&fleet, "dc1-e3");
    wait_for_holder(entry).await;
    let view = entry
        .wait_for_job(&long_running, JobState::Running)
        .await
        .expect("job is running");
    assert_eq!(view.record.attempts, 1);
    assert_eq!(running_tasks(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn termination_under_load_completes_requests_in_flight() {
    let mut fleet = start_with_base_ticket(&[2]).await;
    let entry = api(&fleet, "dc1-e1");
    let mut requests = JoinSet::new();
    for number in 0..40 {
        requests.spawn(async move {
            lookup(entry, &format!("lookup {number}"), 300_000).await;
        });
    }
    sleep(Duration::from_millis(150)).await;
    fleet
        .signal("dc1-e1", "TERM")
        .expect("process receives SIGTERM");
    while let Some(done) = requests.join_next().await {
        done.expect("request is answered completely");
    }
    assert!(fleet.wait_for_exit("dc1-e1").await.expect("process exits"));
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_allows_lookups_and_rejects_tickets_as_not_run() {
    let fleet = start_with_base_ticket(&[2]).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = true);
    lookup(api(&fleet, "dc1-e1"), "during", 1000).await;
    let second = api(&fleet, "dc1-e2");
    let rejected = second
        .put_ticket(&base_ticket(&fleet, 2))
        .await
        .expect("entry instance answers");
    assert!(!rejected.status.is_success());
    assert_eq!(rejected.outcome, Some(Outcome::NotRun));
    assert!(fleet.standins.store.entries("tickets/2/").is_empty());
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = false);
    while !second
        .put_ticket(&base_ticket(&fleet, 2))
        .await
        .expect("entry instance answers")
        .status
        .is_success()
    {
        sleep(Duration::from_millis(100)).await;
    }
    wait_for_revision(api(&fleet, "dc1-e1"), 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_ticket_survives_loss_of_its_instance() {
    let mut fleet = start_with_base_ticket(&[2]).await;
    let reply = api(&fleet, "dc1-e1")
        .put_ticket(&base_ticket(&fleet, 2))
        .await
        .expect("entry instance answers");
    assert!(reply.status.is_success());
    fleet.kill("dc1-e1").expect("process is killed");
    wait_for_revision(api(&fleet, "dc1-e2"), 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_tickets_with_one_number_accept_exactly_one() {
    let fleet = start_with_base_ticket(&[3]).await;
    let with_weight = |weight: u32| -> Ticket {
        let mut ticket = base_ticket(&fleet, 7);
        for organisation in &mut ticket.organisations {
            organisation.weight = Weight(weight);
        }
        ticket
    };
    let mut submissions = JoinSet::new();
    for (weight, name) in (10..).zip(fleet.names()) {
        let ticket = with_weight(weight);
        let entry = api(&fleet, &name);
        submissions.spawn(async move { entry.put_ticket(&ticket).await });
    }
    let mut accepted = 0;
    while let Some(reply) = submissions.join_next().await {
        let reply = reply
            .expect("task does not panic")
            .expect("entry instance answers");
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
        let reply = entry
            .put_ticket(&below)
            .await
            .expect("entry instance answers");
        assert_eq!(reply.status.as_u16(), 409);
    }
}
