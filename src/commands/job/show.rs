use crate::{commands::flags, error::CliError, output::Table};
use error_stack::Report;
use lycheeyard_protocol::JobView;

/// Shows a job.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::call_options();
    let brief = "Usage: lycheeyard job show ORGANISATION JOB";
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let organisation = flags::argument(&matches, 0, "ORGANISATION")?;
    let job = flags::argument(&matches, 1, "JOB")?;
    let path = format!("/v1/jobs/{organisation}/{job}");
    let view: JobView = flags::client(&matches)?.get(&path).await?;
    Ok(describe(&view, matches.opt_present("json")))
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
        record.reason.clone(),
    ]);
}
