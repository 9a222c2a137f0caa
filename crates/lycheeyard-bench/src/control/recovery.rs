use super::{ControlError, ControlFleet};
use lycheeyard_clients::HttpStore;
use lycheeyard_protocol::{
    DataCentreId, JobSpec, ParseError, Preemption, Priority, Shape, Timestamp,
};
use lycheeyard_state::JobStore;
use std::time::Duration;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(30);
const RUN_TIME_MS: u64 = 3_600_000;

/// The number of job records in the store when the new instance starts.
pub(super) const JOBS: usize = 2_200;

/// Measures the time from the start of an instance until it has the configuration and the records of `JOBS` queued jobs
/// have been read from the store. A scheduler must load these records before it starts any job.
pub(super) async fn measure_recovery(
    fleet: &mut ControlFleet,
    data_centre: &DataCentreId,
) -> Result<Duration, ControlError> {
    let store = HttpStore::new(fleet.store.address());
    store.set_share(1, 1, true);
    let jobs = JobStore::new(store);
    for number in 0..JOBS {
        let spec = queued_job(data_centre, number)?;
        let deadline = Instant::now() + TIMEOUT;
        let submitted = jobs.submit(&spec, Timestamp::now(), deadline).await;
        submitted.map_err(|err| ControlError::Call(err.to_string()))?;
    }
    let revision = fleet.members[0].revision();
    let started = Instant::now();
    fleet.add_member(data_centre, "recovered").await?;
    let member = fleet
        .members
        .last()
        .ok_or(ControlError::TimedOut("the start of an instance"))?;
    member.wait_for_revision(revision, TIMEOUT).await?;
    let listed = jobs.list(data_centre, Instant::now() + TIMEOUT).await;
    let listed = listed.map_err(|err| ControlError::Call(err.to_string()))?;
    if listed.jobs.len() < JOBS {
        return Err(ControlError::TimedOut("all job records"));
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
