use crate::{
    commands::flags,
    error::CliError,
    output::{Table, format_json},
};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_protocol::{JobId, JobRecord, JobView, OrganisationId};

/// Prints a job.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let usage_line = "Usage: lycheeyard job show ORGANISATION JOB";
    let matches = match flags::parse(&options, args, usage_line)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let path = job_path(&matches)?;
    let view: JobView = flags::client(&matches)?.get(&path).await?;
    format_view(&view, matches.opt_present("json"))
}

/// Returns the API path of the job named by the positional arguments.
///
/// # Errors
/// Fails when a name is missing or invalid.
pub fn job_path(matches: &Matches) -> Result<String, Report<CliError>> {
    let [organisation, job] = flags::positional(matches, ["ORGANISATION", "JOB"])?;
    let organisation: OrganisationId = flags::parse_value("ORGANISATION", organisation)?;
    let job: JobId = flags::parse_value("JOB", job)?;
    Ok(format!("/v1/jobs/{organisation}/{job}"))
}

/// Formats a job as a table, or as JSON when `as_json` is set.
///
/// # Errors
/// Fails when the job has no JSON form.
pub fn format_view(view: &JobView, as_json: bool) -> Result<String, Report<CliError>> {
    if as_json {
        return format_json(view);
    }
    let mut table = job_table();
    push_job(&mut table, view);
    Ok(table.to_string())
}

/// Creates a table of jobs that has only its header row.
pub fn job_table() -> Table {
    Table::new(&["ORGANISATION", "JOB", "SHAPE", "STATE", "WORKERS", "REASON"])
}

/// Adds a job as a row of a table made by [`job_table`].
pub fn push_job(table: &mut Table, view: &JobView) {
    let record = &view.record;
    let allocations = record.placement.iter().flat_map(|p| &p.allocations);
    let workers: Vec<String> = allocations.map(|a| a.worker.to_string()).collect();
    table.push(vec![
        record.spec.organisation.to_string(),
        record.spec.job.to_string(),
        record.spec.shape.to_string(),
        record.state.to_string(),
        workers.join(","),
        displayed_reason(record),
    ]);
}

fn displayed_reason(record: &JobRecord) -> String {
    if record.cancel_requested && !record.state.is_final() {
        return String::from("cancellation requested");
    }
    record.reason.clone()
}
