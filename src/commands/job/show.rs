use crate::{commands::flags, error::CliError, output::Table};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_protocol::{JobId, JobRecord, JobView, OrganisationId};

/// Shows a job.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::call_options();
    let brief = "Usage: lycheeyard job show ORGANISATION JOB";
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let path = job_path(&matches)?;
    let view: JobView = flags::client(&matches)?.get(&path).await?;
    Ok(describe(&view, matches.opt_present("json")))
}

/// The path of the job that the arguments name.
///
/// # Errors
/// Fails when a name is missing or invalid.
pub fn job_path(matches: &Matches) -> Result<String, Report<CliError>> {
    let [organisation, job] = flags::arguments(matches, ["ORGANISATION", "JOB"])?;
    let organisation: OrganisationId = flags::value("ORGANISATION", organisation)?;
    let job: JobId = flags::value("JOB", job)?;
    Ok(format!("/v1/jobs/{organisation}/{job}"))
}

/// A job as a table for people, or as JSON for programs.
pub fn describe(view: &JobView, json: bool) -> String {
    if json {
        return serde_json::to_string(view).unwrap_or_default();
    }
    let mut table = job_table();
    push_job(&mut table, view);
    table.to_string()
}

/// A table of jobs without rows.
pub fn job_table() -> Table {
    Table::new(&["ORGANISATION", "JOB", "SHAPE", "STATE", "WORKERS", "REASON"])
}

/// Adds a job to a table.
pub fn push_job(table: &mut Table, view: &JobView) {
    let record = &view.record;
    let placement = record.placement.iter().flat_map(|p| &p.allocations);
    let workers: Vec<String> = placement.map(|a| a.worker.to_string()).collect();
    table.push(vec![
        record.spec.organisation.to_string(),
        record.spec.job.to_string(),
        record.spec.shape.to_string(),
        record.state.to_string(),
        workers.join(","),
        reason(record),
    ]);
}

fn reason(record: &JobRecord) -> String {
    if record.cancel_requested && !record.state.is_final() {
        return String::from("cancellation requested");
    }
    record.reason.clone()
}
