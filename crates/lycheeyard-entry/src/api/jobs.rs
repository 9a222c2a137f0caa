use super::{
    reply,
    reply::Reply,
    tickets::{bad_request, state_problem},
};
use crate::{access::Caller, node::Shared};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use lycheeyard_platform::WriteOutcome;
use lycheeyard_protocol::{
    JobId, JobSpec, JobView, OrganisationId, Outcome, ParseError, Problem, ProblemKind, Timestamp,
};
use lycheeyard_state::{StateError, StoredJob, SubmitOutcome};
use std::time::Duration;
use tokio::time::Instant;

const JOB_CALL: Duration = Duration::from_secs(5);

/// Submits a job.
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
    match submitted.map_err(|err| state_problem(&err))? {
        SubmitOutcome::Created(stored) => Ok(view(StatusCode::CREATED, stored)),
        SubmitOutcome::Existing(stored) => Ok(view(StatusCode::OK, stored)),
        SubmitOutcome::Taken(_) => {
            let text = format!("{organisation}/{job} exists with another specification");
            Err(Problem::not_run(ProblemKind::Conflict, text))
        }
    }
}

/// Shows a job.
pub(super) async fn get(organisation: &str, job: &str, shared: &Shared) -> Result<Reply, Problem> {
    let stored = find(organisation, job, shared).await?;
    Ok(view(StatusCode::OK, stored))
}

/// Lists the jobs of this data centre that the caller may see.
pub(super) async fn list(caller: &Caller, shared: &Shared) -> Result<Reply, Problem> {
    let listed = shared
        .jobs
        .list(&shared.settings.data_centre, deadline())
        .await;
    let listed = listed.map_err(|err| state_problem(&err))?;
    let views: Vec<JobView> = listed
        .into_iter()
        .filter(|stored| caller.may_see(&stored.record.spec.organisation))
        .map(|stored| JobView {
            record: stored.record,
        })
        .collect();
    Ok(reply::json(StatusCode::OK, &views))
}

/// Asks for a job to be cancelled.
pub(super) async fn cancel(
    organisation: &str,
    job: &str,
    shared: &Shared,
) -> Result<Reply, Problem> {
    const MAX_RACES: usize = 8;
    for _ in 0..MAX_RACES {
        let stored = find(organisation, job, shared).await?;
        if stored.record.state.is_final() || stored.record.cancel_requested {
            return Ok(view(StatusCode::OK, stored));
        }
        let mut record = stored.record.clone();
        record.cancel_requested = true;
        let written = shared
            .jobs
            .update(&stored, record.clone(), deadline())
            .await;
        match written.map_err(|err| state_problem(&err))? {
            WriteOutcome::Applied(version) => {
                return Ok(view(StatusCode::ACCEPTED, StoredJob { record, version }));
            }
            WriteOutcome::Conflict(_) => {}
            WriteOutcome::Unknown => return Err(state_problem(&StateError::Unknown)),
        }
    }
    let text = format!("{organisation}/{job} changes too fast; try again");
    Err(Problem::new(ProblemKind::Conflict, Outcome::NotRun, text))
}

async fn find(organisation: &str, job: &str, shared: &Shared) -> Result<StoredJob, Problem> {
    let (organisation, job) = parse_names(organisation, job)?;
    let stored = shared.jobs.get(&organisation, &job, deadline()).await;
    let stored = stored.map_err(|err| state_problem(&err))?;
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
    let bad = |err: ParseError| bad_request(err.to_string());
    Ok((
        organisation.parse().map_err(bad)?,
        job.parse().map_err(bad)?,
    ))
}

fn view(status: StatusCode, stored: StoredJob) -> Reply {
    let view = JobView {
        record: stored.record,
    };
    reply::json(status, &view)
}

fn deadline() -> Instant {
    Instant::now() + JOB_CALL
}
