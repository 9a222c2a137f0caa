use lycheeyard_protocol::{
    DataCentreId, JobSpec, JobState, Outcome, Revision, StatusReport, TaskId, Ticket,
    platform::TaskState,
};
use lycheeyard_standin::{EntryApi, EntryFleet, endless_job};
use std::{collections::BTreeSet, net::SocketAddr};

/// Starts entry processes and applies the base ticket. `counts` has the number of processes for `dc1`, `dc2` and so
/// on.
pub async fn start_with_base_ticket(counts: &[usize]) -> EntryFleet {
    let program = env!("CARGO_BIN_EXE_lycheeyard-entry").into();
    let fleet = EntryFleet::start(program, counts)
        .await
        .expect("fleet starts");
    let first = api(&fleet, "dc1-e1");
    let reply = first
        .put_ticket(&base_ticket(&fleet, 1))
        .await
        .expect("entry instance answers");
    assert!(reply.status.is_success());
    for name in fleet.names() {
        let others = fleet.names().len() - 1;
        let is_complete = |status: &StatusReport| {
            status.instance.revision == Revision(1) && status.peers.len() == others
        };
        api(&fleet, &name)
            .wait_for_status(is_complete)
            .await
            .expect("instance has the base ticket and all peers");
        api(&fleet, &name)
            .wait_until_ready()
            .await
            .expect("instance becomes ready");
    }
    fleet
}

pub fn api(fleet: &EntryFleet, name: &str) -> EntryApi {
    fleet.api(name).expect("entry process is running")
}

/// The address for callers of an entry process.
pub fn address(fleet: &EntryFleet, name: &str) -> SocketAddr {
    api(fleet, name).address()
}

pub fn base_ticket(fleet: &EntryFleet, number: u64) -> Ticket {
    fleet.base_ticket(number).expect("base ticket is valid")
}

pub fn job(data_centre: DataCentreId, organisation: &str, job: &str, workers: u16) -> JobSpec {
    endless_job(data_centre, organisation, job, workers).expect("job is valid")
}

/// Submits a job and waits until it is running.
pub async fn submit_and_wait(api: EntryApi, job: &JobSpec) {
    api.submit(job).await.expect("entry instance answers");
    api.wait_for_job(job, JobState::Running)
        .await
        .expect("job is running");
}

/// Sends a lookup and checks that the answer is complete and repeats the body.
pub async fn lookup(api: EntryApi, body: &str, work_us: u64) {
    let reply = api.lookup("org-a", body, work_us).await;
    let reply = reply.expect("request is answered");
    assert!(reply.status.is_success(), "{reply:?}");
    assert_eq!(reply.outcome, Some(Outcome::Done));
    assert_eq!(reply.body, body.as_bytes());
}

pub async fn wait_for_revision(api: EntryApi, revision: u64) {
    let has_revision = |status: &StatusReport| status.instance.revision >= Revision(revision);
    api.wait_for_status(has_revision)
        .await
        .expect("revision arrives");
}

/// The instance that holds the scheduler lease, according to the status of one instance. If several report an
/// epoch, the newest one counts.
pub fn holder(status: &StatusReport) -> Option<String> {
    let all = std::iter::once(&status.instance).chain(&status.peers);
    let holders = all.filter(|status| status.scheduler_epoch.is_some());
    let newest = holders.max_by_key(|status| status.scheduler_epoch);
    newest.map(|status| status.instance.to_string())
}

/// The ids of the running tasks. Fails if two of them use the same accelerator.
pub fn running_tasks(fleet: &EntryFleet) -> BTreeSet<TaskId> {
    let mut running = BTreeSet::new();
    for (worker, standin) in &fleet.standins.workers {
        let mut used = BTreeSet::new();
        for task in standin.report().tasks {
            if task.state == TaskState::Running {
                let are_unused = task.accelerators.iter().all(|index| used.insert(*index));
                assert!(are_unused, "{worker} runs two tasks on one accelerator");
                running.insert(task.task);
            }
        }
    }
    running
}
