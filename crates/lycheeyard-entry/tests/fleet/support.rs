use lycheeyard_protocol::{
    DataCentreId, JobSpec, Outcome, Revision, StatusReport, TaskId, Ticket, platform::TaskState,
};
use lycheeyard_standin::{EntryApi, EntryFleet, endless_job};
use std::collections::BTreeSet;

/// Starts entry processes in the first data centres and puts the base ticket in force.
pub async fn start_with_base(counts: &[usize]) -> EntryFleet {
    let program = env!("CARGO_BIN_EXE_lycheeyard-entry").into();
    let fleet = EntryFleet::start(program, counts).await.expect("a fleet");
    let first = api(&fleet, "dc1-e1");
    let reply = first.put_ticket(&base(&fleet, 1)).await.expect("an answer");
    assert!(reply.status.is_success());
    for name in fleet.names() {
        let others = fleet.names().len() - 1;
        let ready = |status: &StatusReport| {
            status.instance.revision == Revision(1) && status.peers.len() == others
        };
        api(&fleet, &name)
            .wait_for_status(ready)
            .await
            .expect("all peers");
        api(&fleet, &name).wait_until_ready().await.expect("ready");
    }
    fleet
}

pub fn api(fleet: &EntryFleet, name: &str) -> EntryApi {
    fleet.api(name).expect("a running entry")
}

pub fn base(fleet: &EntryFleet, number: u64) -> Ticket {
    fleet.base_ticket(number).expect("a ticket")
}

pub fn job(data_centre: DataCentreId, organisation: &str, job: &str, workers: u16) -> JobSpec {
    endless_job(data_centre, organisation, job, workers).expect("a job")
}

/// Sends a lookup that must be answered whole with its own body.
pub async fn lookup(api: EntryApi, body: &str, work_us: u64) {
    let reply = api.lookup("org-a", body, work_us).await;
    let reply = reply.expect("no request is cut");
    assert!(reply.status.is_success(), "{reply:?}");
    assert_eq!(reply.outcome, Some(Outcome::Done));
    assert_eq!(reply.body, body.as_bytes());
}

pub async fn wait_for_revision(api: EntryApi, revision: u64) {
    let arrived = |status: &StatusReport| status.instance.revision >= Revision(revision);
    api.wait_for_status(arrived).await.expect("the revision");
}

/// The instance that holds the scheduler lease, as one instance sees it.
pub fn holder(status: &StatusReport) -> Option<String> {
    let all = std::iter::once(&status.instance).chain(&status.peers);
    let holding = all.filter(|one| one.scheduler_epoch.is_some());
    let newest = holding.max_by_key(|one| one.scheduler_epoch);
    newest.map(|one| one.instance.to_string())
}

/// The running tasks by id; no two of them may hold the same accelerator.
pub fn running_tasks(fleet: &EntryFleet) -> BTreeSet<TaskId> {
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
