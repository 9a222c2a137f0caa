use crate::{
    commands::flags,
    error::CliError,
    output::{Table, format_json},
};
use error_stack::Report;
use lycheeyard_protocol::StatusReport;

/// Prints the called entry instance and the peers that it lists, with the revision of each.
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
    Ok(table.to_string())
}
