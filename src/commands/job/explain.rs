use super::show::job_path;
use crate::{
    commands::flags,
    error::CliError,
    output::{Table, format_json, format_utc},
};
use error_stack::Report;
use lycheeyard_protocol::{JobExplanation, Timestamp};

/// Prints what a job is waiting for and when it is expected to start.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let usage_line = "Usage: lycheeyard job explain ORGANISATION JOB";
    let matches = match flags::parse(&options, args, usage_line)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let path = format!("{}/explain", job_path(&matches)?);
    let explanation: JobExplanation = flags::client(&matches)?.get(&path).await?;
    if matches.opt_present("json") {
        return format_json(&explanation);
    }
    Ok(format_explanation(&explanation))
}

fn format_explanation(explanation: &JobExplanation) -> String {
    let mut table = Table::new(&["STATE", "WAITS FOR", "BEHIND", "START", "LATEST START"]);
    table.push(vec![
        explanation.state.to_string(),
        explanation.waits_for.to_string(),
        format_behind(explanation),
        format_start(explanation.expected_start),
        format_start(explanation.latest_start),
    ]);
    format!("{table}{}", explanation.detail)
}

fn format_behind(explanation: &JobExplanation) -> String {
    if explanation.behind.is_empty() {
        return String::from("-");
    }
    explanation.behind.join(",")
}

fn format_start(at: Option<Timestamp>) -> String {
    at.map_or_else(|| String::from("-"), format_utc)
}
