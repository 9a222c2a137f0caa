use crate::{
    commands::flags,
    error::CliError,
    output::{Table, format_json, format_utc},
};
use error_stack::Report;
use lycheeyard_protocol::{JobCount, StatusReport};

/// Prints the called entry instance and the peers that it lists, with the revision of each, and the evacuated data
/// centres.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard status")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::positional(&matches, [])?;
    let report: StatusReport = flags::client(&matches)?.get("/v1/status").await?;
    if matches.opt_present("json") {
        return format_json(&report);
    }
    let mut table = Table::new(&["INSTANCE", "DATA CENTRE", "REVISION", "SCHEDULER"]);
    for status in std::iter::once(&report.instance).chain(&report.peers) {
        let epoch = status.scheduler_epoch;
        table.push(vec![
            status.instance.to_string(),
            status.data_centre.to_string(),
            status.revision.to_string(),
            epoch.map_or_else(String::new, |epoch| format!("epoch {epoch}")),
        ]);
    }
    if report.evacuations.is_empty() {
        return Ok(table.to_string());
    }
    Ok(format!("{table}\n{}", format_evacuations(&report)))
}

fn format_evacuations(report: &StatusReport) -> Table {
    let mut table = Table::new(&[
        "EVACUATED",
        "SINCE",
        "TICKET",
        "REQUESTS",
        "RUNNING",
        "WAITING",
    ]);
    for status in &report.evacuations {
        let since = status.start.since;
        table.push(vec![
            status.data_centre.to_string(),
            since.map_or_else(|| String::from("-"), format_utc),
            status.start.ticket.to_string(),
            status.requests_in_flight.to_string(),
            format_jobs(status.running.as_ref()),
            format_jobs(status.waiting.as_ref()),
        ]);
    }
    table
}

/// Formats a number of jobs and the names of the first of them; `unknown` if the store could not be read.
fn format_jobs(jobs: Option<&JobCount>) -> String {
    let Some(jobs) = jobs else {
        return String::from("unknown");
    };
    if jobs.first.is_empty() {
        return jobs.count.to_string();
    }
    let more = if jobs.count > jobs.first.len() as u64 {
        ",..."
    } else {
        ""
    };
    format!("{} ({}{more})", jobs.count, jobs.first.join(","))
}
