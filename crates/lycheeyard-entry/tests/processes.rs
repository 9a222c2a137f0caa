//! Entry instances as real processes that are killed, frozen and told to end.

mod support;

use lycheeyard_protocol::{
    JobState, Outcome, StatusReport, TaskId, Ticket, TicketNumber, Weight, platform::TaskState,
};
use std::{collections::BTreeSet, time::Duration};
use support::{Fleet, job_spec};
use tokio::{task::JoinSet, time::sleep};

/// The running tasks by id; no two of them may hold the same accelerator.
fn running_tasks(fleet: &Fleet) -> BTreeSet<TaskId> {
    let mut running = BTreeSet::new();
    for (worker, standin) in &fleet.standins.workers {
        let mut held = BTreeSet::new();
        for task in standin.report().tasks {
            if task.state == TaskState::Running {
                let free = task.accelerators.iter().all(|index| held.insert(*index));
                assert!(free, "{worker} runs two tasks on one accelerator");
                running.insert(task.task);
            }
        }
    }
    running
}

/// The instance that holds the scheduler lease, as one instance sees it.
fn holder(status: &StatusReport) -> Option<String> {
    let all = std::iter::once(&status.instance).chain(&status.peers);
    let holding = all.filter(|one| one.scheduler_epoch.is_some());
    let newest = holding.max_by_key(|one| one.scheduler_epoch);
    newest.map(|one| one.instance.to_string())
}

async fn start_with_base(count: usize) -> Fleet {
    let fleet = Fleet::start(count).await;
    let (status, ..) = fleet
        .api("dc1-e1")
        .put_ticket(&fleet.base_ticket(1))
        .await
        .expect("an answer");
    assert!(status.is_success());
    for name in fleet.names() {
        let ready = |status: &StatusReport| {
            status.instance.revision.0 == 1
                && status.peers.len() == count - 1
                && holder(status).is_some()
        };
        fleet.api(&name).wait_for_status(ready).await;
    }
    fleet
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_scheduler_neither_stops_nor_repeats_running_work() {
    let mut fleet = start_with_base(3).await;
    let first = job_spec(fleet.data_centre(), "org-a", "first", 3);
    fleet.api("dc1-e1").submit(&first).await.expect("an answer");
    fleet
        .api("dc1-e1")
        .wait_for_job(&first, JobState::Running)
        .await;
    let before = running_tasks(&fleet);
    let status = fleet.api("dc1-e1").status().await.expect("a status");
    let victim = holder(&status).expect("a holder");
    fleet.kill(&victim);
    let survivor = fleet.names()[0].clone();
    let second = job_spec(fleet.data_centre(), "org-a", "second", 2);
    fleet
        .api(&survivor)
        .submit(&second)
        .await
        .expect("an answer");
    fleet
        .api(&survivor)
        .wait_for_job(&second, JobState::Running)
        .await;
    let view = fleet
        .api(&survivor)
        .job(&first)
        .await
        .expect("the first job");
    assert_eq!(view.record.state, JobState::Running);
    assert_eq!(view.record.attempts, 1);
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_scheduler_that_wakes_does_no_harm() {
    let fleet = start_with_base(3).await;
    let status = fleet.api("dc1-e1").status().await.expect("a status");
    let victim = holder(&status).expect("a holder");
    fleet.signal(&victim, "STOP");
    let survivor = fleet
        .names()
        .into_iter()
        .find(|name| *name != victim)
        .expect("a survivor");
    let job = job_spec(fleet.data_centre(), "org-a", "during", 4);
    fleet.api(&survivor).submit(&job).await.expect("an answer");
    fleet
        .api(&survivor)
        .wait_for_job(&job, JobState::Running)
        .await;
    let before = running_tasks(&fleet);
    fleet.signal(&victim, "CONT");
    let agreed = |status: &StatusReport| {
        let all = std::iter::once(&status.instance).chain(&status.peers);
        status.peers.len() == 2 && all.filter(|one| one.scheduler_epoch.is_some()).count() == 1
    };
    let status = fleet.api(&victim).wait_for_status(agreed).await;
    assert_ne!(holder(&status), Some(victim.clone()));
    let after = job_spec(fleet.data_centre(), "org-b", "after", 2);
    fleet.api(&victim).submit(&after).await.expect("an answer");
    fleet
        .api(&victim)
        .wait_for_job(&after, JobState::Running)
        .await;
    assert!(running_tasks(&fleet).is_superset(&before));
}

#[tokio::test(flavor = "multi_thread")]
async fn running_work_survives_the_loss_of_every_entry_instance() {
    let mut fleet = start_with_base(2).await;
    let job = job_spec(fleet.data_centre(), "org-a", "lasting", 5);
    fleet.api("dc1-e1").submit(&job).await.expect("an answer");
    fleet
        .api("dc1-e1")
        .wait_for_job(&job, JobState::Running)
        .await;
    let before = running_tasks(&fleet);
    fleet.kill("dc1-e1");
    fleet.kill("dc1-e2");
    fleet.start_entry("dc1-e3");
    let view = fleet
        .api("dc1-e3")
        .wait_for_job(&job, JobState::Running)
        .await;
    assert_eq!(view.record.attempts, 1);
    fleet
        .api("dc1-e3")
        .wait_for_status(|status| holder(status).is_some())
        .await;
    assert_eq!(running_tasks(&fleet), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn termination_under_load_cuts_no_request() {
    let mut fleet = start_with_base(2).await;
    let api = fleet.api("dc1-e1");
    let mut requests = JoinSet::new();
    for number in 0..40 {
        requests.spawn(async move {
            let body = format!("lookup {number}");
            (body.clone(), api.lookup("org-a", &body, 300_000).await)
        });
    }
    sleep(Duration::from_millis(150)).await;
    fleet.signal("dc1-e1", "TERM");
    while let Some(done) = requests.join_next().await {
        let (body, reply) = done.expect("no panic");
        let (status, outcome, answer) = reply.expect("no request is cut");
        assert!(status.is_success(), "{status}");
        assert_eq!(outcome, Some(Outcome::Done));
        assert_eq!(answer, body.as_bytes());
    }
    assert!(fleet.wait_for_end("dc1-e1").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_leaves_lookups_and_refuses_tickets_truthfully() {
    let fleet = start_with_base(2).await;
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = true);
    let (_, outcome, answer) = fleet
        .api("dc1-e1")
        .lookup("org-a", "during", 1000)
        .await
        .expect("an answer");
    assert_eq!(outcome, Some(Outcome::Done));
    assert_eq!(answer, "during");
    let (status, outcome, _) = fleet
        .api("dc1-e2")
        .put_ticket(&fleet.base_ticket(2))
        .await
        .expect("an answer");
    assert!(!status.is_success());
    assert_eq!(outcome, Some(Outcome::NotRun));
    assert!(fleet.standins.store.entries("tickets/2/").is_empty());
    fleet
        .standins
        .store
        .faults()
        .change(|faults| faults.down = false);
    loop {
        let (status, ..) = fleet
            .api("dc1-e2")
            .put_ticket(&fleet.base_ticket(2))
            .await
            .expect("an answer");
        if status.is_success() {
            break;
        }
        sleep(Duration::from_millis(100)).await;
    }
    fleet
        .api("dc1-e1")
        .wait_for_status(|status| status.instance.revision.0 == 2)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_ticket_survives_its_instance() {
    let mut fleet = start_with_base(2).await;
    let (status, ..) = fleet
        .api("dc1-e1")
        .put_ticket(&fleet.base_ticket(2))
        .await
        .expect("an answer");
    assert!(status.is_success());
    fleet.kill("dc1-e1");
    fleet
        .api("dc1-e2")
        .wait_for_status(|status| status.instance.revision.0 == 2)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_that_every_instance_agrees_on() {
    let fleet = start_with_base(3).await;
    let with_weight = |weight: u32| -> Ticket {
        let mut ticket = fleet.base_ticket(7);
        for organisation in &mut ticket.organisations {
            organisation.weight = Weight(weight);
        }
        ticket
    };
    let mut races = JoinSet::new();
    for (index, name) in fleet.names().into_iter().enumerate() {
        let ticket = with_weight(10 + u32::try_from(index).expect("a small number"));
        let api = fleet.api(&name);
        races.spawn(async move { api.put_ticket(&ticket).await });
    }
    let mut accepted = 0;
    while let Some(reply) = races.join_next().await {
        let (status, outcome, _) = reply.expect("no panic").expect("an answer");
        if status.is_success() {
            accepted += 1;
        } else {
            assert_eq!(status.as_u16(), 409);
            assert_eq!(outcome, Some(Outcome::NotRun));
        }
    }
    assert_eq!(accepted, 1);
    let below = Ticket {
        number: TicketNumber(6),
        ..with_weight(99)
    };
    for name in fleet.names() {
        let api = fleet.api(&name);
        api.wait_for_status(|status| status.instance.revision.0 == 2)
            .await;
        let (status, ..) = api.put_ticket(&below).await.expect("an answer");
        assert_eq!(status.as_u16(), 409);
    }
}
