use super::{ControlError, ControlFleet};
use lycheeyard_clients::HttpStore;
use lycheeyard_protocol::{
    DataCentreId, JobSpec, ParseError, Preemption, Priority, Shape, Timestamp,
};
use lycheeyard_state::JobStore;
use std::time::Duration;
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_secs(30);
const RUN_TIME_MS: u64 = 3_600_000;

/// The number of job records that a new instance finds.
pub(super) const JOBS: usize = 2_200;

/// Fills the store with the records of queued jobs, which a scheduler must know before it starts anything.
pub(super) async fn measure_recovery(
    fleet: &mut ControlFleet,
    data_centre: &DataCentreId,
) -> Result<Duration, ControlError> {
    let store = HttpStore::new(fleet.store.address());
    store.set_share(1, 1, true);
    let jobs = JobStore::new(store);
    for number in 0..JOBS {
        let spec = queued_job(data_centre, number)?;
        let deadline = Instant::now() + LIMIT;
        let submitted = jobs.submit(&spec, Timestamp::now(), deadline).await;
        submitted.map_err(|err| ControlError::Call(err.to_string()))?;
    }
    let revision = fleet.members[0].revision();
    let started = Instant::now();
    fleet.add_member(data_centre, "recovered").await?;
    let member = fleet.members.last().ok_or(ControlError::Late("a start"))?;
    member.wait_for(revision, LIMIT).await?;
    let listed = jobs.list(data_centre, Instant::now() + LIMIT).await;
    let listed = listed.map_err(|err| ControlError::Call(err.to_string()))?;
    if listed.jobs.len() < JOBS {
        return Err(ControlError::Late("all job records"));
    }
    Ok(started.elapsed())
}

fn queued_job(data_centre: &DataCentreId, number: usize) -> Result<JobSpec, ParseError> {
    Ok(JobSpec {
        organisation: "organisation-000".parse()?,
        job: format!("job-{number:05}").parse()?,
        data_centre: data_centre.clone(),
        shape: Shape::new(1, 8)?,
        priority: Priority::Normal,
        preemption: Preemption::Checkpoint,
        guaranteed: false,
        run_time_ms: RUN_TIME_MS,
        window_ms: None,
        payload: String::new(),
    })
}
