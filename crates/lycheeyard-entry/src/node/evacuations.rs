use super::Shared;
use lycheeyard_policy::JobKey;
use lycheeyard_protocol::{
    DataCentreId, EvacuationStart, EvacuationStatus, InstanceStatus, JobCount, JobRecord, JobState,
};
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// The time for the job records of all evacuated data centres together. `ticket wait` polls the status, so a store that
/// does not answer must not delay it by more than a few polls.
const LIST_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of jobs that a status names for one data centre and state.
const MAX_NAMED_JOBS: usize = 10;

/// Returns the status of each evacuated data centre. `instances` are the instances that report requests in flight.
pub(super) async fn evacuation_statuses(
    shared: &Shared,
    instances: &[&InstanceStatus],
) -> Vec<EvacuationStatus> {
    let config = shared.configuration();
    let deadline = Instant::now() + LIST_TIMEOUT;
    let mut statuses = Vec::new();
    for (id, start) in &config.evacuations {
        let records = read_jobs(shared, id, deadline).await;
        statuses.push(evacuation_status(id, *start, records.as_deref(), instances));
    }
    statuses
}

/// Reads the job records from the store, since no instance caches those of other data centres. Returns `None` if the
/// store does not answer in time.
async fn read_jobs(
    shared: &Shared,
    data_centre: &DataCentreId,
    deadline: Instant,
) -> Option<Vec<JobRecord>> {
    match shared.jobs.list(data_centre, deadline).await {
        Ok(listed) => {
            let records = listed.jobs.into_iter().map(|stored| stored.record);
            Some(records.collect())
        }
        Err(err) => {
            debug!("entry: could not list the jobs of {data_centre}: {err}");
            None
        }
    }
}

fn evacuation_status(
    data_centre: &DataCentreId,
    start: EvacuationStart,
    records: Option<&[JobRecord]>,
    instances: &[&InstanceStatus],
) -> EvacuationStatus {
    let count = |has_state: fn(JobState) -> bool| {
        let records = records?.iter();
        Some(count_jobs(records.filter(|record| has_state(record.state))))
    };
    let there = instances
        .iter()
        .filter(|instance| instance.data_centre == *data_centre);
    EvacuationStatus {
        data_centre: data_centre.clone(),
        start,
        running: count(JobState::holds_accelerators),
        waiting: count(|state| state == JobState::Queued),
        requests_in_flight: there.map(|instance| instance.requests_in_flight).sum(),
    }
}

fn count_jobs<'a>(records: impl Iterator<Item = &'a JobRecord>) -> JobCount {
    let mut jobs = JobCount::default();
    for record in records {
        jobs.count += 1;
        if jobs.first.len() < MAX_NAMED_JOBS {
            jobs.first.push(JobKey::of(record).to_string());
        }
    }
    jobs
}
