use crate::{
    commands::flags,
    error::CliError,
    output::{Table, format_json, format_utc},
};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_protocol::{AuditEntry, ObjectName, TicketNumber, Timestamp};
use serde_json::Value;

/// Prints the audit log, oldest entry first.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    let help = "only tickets that include this object, such as organisation/north";
    options.optopt("", "object", help, "KIND/NAME");
    options.optopt("", "ticket", "only this ticket", "NUMBER");
    let help = "only entries after this time, in milliseconds since 1970";
    options.optopt("", "after", help, "MS");
    let help = "only entries before this time, in milliseconds since 1970";
    options.optopt("", "before", help, "MS");
    let matches = match flags::parse(&options, args, "Usage: lycheeyard audit")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::positional(&matches, [])?;
    let path = format!("/v1/audit{}", audit_query(&matches)?);
    let entries: Vec<AuditEntry> = flags::client(&matches)?.get(&path).await?;
    if matches.opt_present("json") {
        return format_json(&entries);
    }
    let mut table = Table::new(&["AT", "INSTANCE", "EVENT", "DETAIL"]);
    for entry in &entries {
        push_entry(&mut table, entry);
    }
    Ok(table.to_string())
}

fn audit_query(matches: &Matches) -> Result<String, Report<CliError>> {
    let object: Option<ObjectName> = flags::parse_option(matches, "object")?;
    let ticket: Option<TicketNumber> = flags::parse_option(matches, "ticket")?;
    let after: Option<Timestamp> = flags::parse_option(matches, "after")?;
    let before: Option<Timestamp> = flags::parse_option(matches, "before")?;
    Ok(flags::query_string(&[
        ("object", object.map(|object| object.to_string())),
        ("ticket", ticket.map(|number| number.to_string())),
        ("after", after.map(|at| at.to_string())),
        ("before", before.map(|at| at.to_string())),
    ]))
}

fn push_entry(table: &mut Table, entry: &AuditEntry) {
    let event = serde_json::to_value(&entry.event).unwrap_or_default();
    let details: Vec<String> = event
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, _)| *name != "event")
        .map(|(name, value)| format!("{name}={}", unquoted(value)))
        .collect();
    table.push(vec![
        format_utc(entry.at),
        entry.instance.to_string(),
        event["event"].as_str().unwrap_or_default().to_owned(),
        details.join(" "),
    ]);
}

/// Formats a JSON value; a string is printed without quotes.
fn unquoted(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
