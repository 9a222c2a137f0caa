use super::{
    job_filter::JobFilter,
    reply,
    reply::Reply,
    tickets::{bad_request, problem_from_state_error},
};
use crate::{access::Caller, node::Shared};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use lycheeyard_policy::{JobKey, Snapshot};
use lycheeyard_protocol::{
    JobId, JobRecord, JobSpec, JobState, JobView, OrganisationId, Outcome, ParseError, Problem,
    ProblemKind, Timestamp,
};
use lycheeyard_state::{SaveOutcome, StoredJob, SubmitOutcome};
use std::time::Duration;
use tokio::time::Instant;

const JOB_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Submits a job. Submitting the same specification again returns the existing job.
pub(super) async fn put(
    req: &Request<Bytes>,
    organisation: &str,
    job: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    let (organisation, job) = parse_names(organisation, job)?;
    let spec: JobSpec = serde_json::from_slice(req.body())
        .map_err(|err| bad_request(format!("the job cannot be read: {err}")))?;
    if spec.organisation != organisation || spec.job != job {
        let text = format!("the path names {organisation}/{job} and the body another job");
        return Err(bad_request(text));
    }
    check_spec(&spec, shared)?;
    let submitted = shared
        .jobs
        .submit(&spec, Timestamp::now(), deadline())
        .await;
    match submitted.map_err(|err| problem_from_state_error(&err))? {
        SubmitOutcome::Created(stored) => Ok(job_reply(StatusCode::CREATED, stored)),
        SubmitOutcome::Existing(stored) => Ok(job_reply(StatusCode::OK, stored)),
        SubmitOutcome::NameTaken(_) => {
            let text = format!("{organisation}/{job} exists with another specification");
            Err(Problem::not_run(ProblemKind::Conflict, text))
        }
    }
}

/// Returns a job.
pub(super) async fn get(organisation: &str, job: &str, shared: &Shared) -> Result<Reply, Problem> {
    let stored = find(organisation, job, shared).await?;
    Ok(job_reply(StatusCode::OK, stored))
}

/// Lists the jobs of one data centre that match a query and that the caller may see.
pub(super) async fn list(query: &str, caller: &Caller, shared: &Shared) -> Result<Reply, Problem> {
    let filter = JobFilter::parse(query).map_err(|err| bad_request(err.to_string()))?;
    let here = &shared.settings.data_centre;
    let data_centre = filter.data_centre.as_ref().unwrap_or(here);
    let listed = shared.jobs.list(data_centre, deadline()).await;
    let listed = listed.map_err(|err| problem_from_state_error(&err))?;
    let views: Vec<JobView> = listed
        .jobs
        .into_iter()
        .filter(|stored| caller.may_see(&stored.record.spec.organisation))
        .filter(|stored| filter.matches(&stored.record))
        .map(|stored| JobView {
            record: stored.record,
        })
        .collect();
    Ok(reply::json(StatusCode::OK, &views))
}

/// Explains what a job waits for.
///
/// Reads the records of the job's data centre from the store, since no instance caches those of other data
/// centres.
pub(super) async fn explain(
    organisation: &str,
    job: &str,
    caller: &Caller,
    shared: &Shared,
) -> Result<Reply, Problem> {
    let stored = find(organisation, job, shared).await?;
    let key = JobKey::of(&stored.record);
    let id = &stored.record.spec.data_centre;
    let config = shared.configuration();
    let data_centre = config.data_centres.get(id).ok_or_else(|| {
        let text = format!("there is no data centre {id}");
        Problem::not_run(ProblemKind::NotFound, text)
    })?;
    let listed = shared.jobs.list(id, deadline()).await;
    let listed = listed.map_err(|err| problem_from_state_error(&err))?;
    let mut snapshot = Snapshot::new(data_centre.clone(), config.organisations.clone());
    snapshot.evacuation = config.evacuations.get(id).copied();
    let records = listed.jobs.into_iter().map(|stored| stored.record);
    let unfinished = records.filter(|record| !record.state.is_final());
    snapshot.jobs = unfinished
        .map(|record| (JobKey::of(&record), record))
        .collect();
    snapshot.jobs.insert(key.clone(), stored.record);
    let explanation = lycheeyard_policy::explain(&snapshot, &key, Timestamp::now());
    Ok(reply::json(StatusCode::OK, &caller.redact(explanation)))
}

/// Requests the cancellation of a job. A job that has ended, or whose cancellation was requested before, is
/// returned unchanged.
pub(super) async fn cancel(
    organisation: &str,
    job: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    const MAX_SAVE_ATTEMPTS: usize = 8;
    for _ in 0..MAX_SAVE_ATTEMPTS {
        let stored = find(organisation, job, shared).await?;
        if stored.record.state.is_final() || stored.record.cancel_requested {
            return Ok(job_reply(StatusCode::OK, stored));
        }
        let record = with_cancellation(&stored.record);
        let written = shared.jobs.save(&stored, record, deadline()).await;
        match written.map_err(|err| problem_from_state_error(&err))? {
            SaveOutcome::Saved(saved) => return Ok(job_reply(StatusCode::ACCEPTED, saved)),
            SaveOutcome::Changed(_) => {}
        }
    }
    let text = format!("{organisation}/{job} changes too fast; try again");
    Err(Problem::new(ProblemKind::Conflict, Outcome::NotRun, text))
}

/// The record with the cancellation requested.
///
/// A queued job holds no resources and ends at once; the scheduler stops jobs in other states.
fn with_cancellation(record: &JobRecord) -> JobRecord {
    let mut record = record.clone();
    record.cancel_requested = true;
    if record.state == JobState::Queued {
        record.state = JobState::Cancelled;
        record.ended_at = Some(Timestamp::now());
        "cancelled".clone_into(&mut record.reason);
    }
    record
}

async fn find(organisation: &str, job: &str, shared: &Shared) -> Result<StoredJob, Problem> {
    let (organisation, job) = parse_names(organisation, job)?;
    let stored = shared.jobs.get(&organisation, &job, deadline()).await;
    let stored = stored.map_err(|err| problem_from_state_error(&err))?;
    stored.ok_or_else(|| {
        let text = format!("there is no job {organisation}/{job}");
        Problem::not_run(ProblemKind::NotFound, text)
    })
}

fn check_spec(spec: &JobSpec, shared: &Shared) -> Result<(), Problem> {
    let config = shared.configuration();
    if !config.organisations.contains_key(&spec.organisation) {
        let text = format!("there is no organisation {}", spec.organisation);
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    }
    if !config.data_centres.contains_key(&spec.data_centre) {
        let text = format!("there is no data centre {}", spec.data_centre);
        return Err(Problem::not_run(ProblemKind::NotFound, text));
    }
    Ok(())
}

fn parse_names(organisation: &str, job: &str) -> Result<(OrganisationId, JobId), Problem> {
    let invalid = |err: ParseError| bad_request(err.to_string());
    Ok((
        organisation.parse().map_err(invalid)?,
        job.parse().map_err(invalid)?,
    ))
}

fn job_reply(status: StatusCode, stored: StoredJob) -> Reply {
    let view = JobView {
        record: stored.record,
    };
    reply::json(status, &view)
}

fn deadline() -> Instant {
    Instant::now() + JOB_CALL_TIMEOUT
}
