use crate::{commands::flags, error::CliError, output::Table};
use error_stack::Report;
use serde_json::Value;

/// Lists the accepted tickets.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard ticket list")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::positional(&matches, [])?;
    let tickets: Vec<Value> = flags::client(&matches)?.get("/v1/tickets").await?;
    if matches.opt_present("json") {
        return Ok(Value::from(tickets).to_string());
    }
    let mut table = Table::new(&["REVISION", "TICKET", "DIGEST"]);
    for ticket in &tickets {
        let digest = ticket["digest"].as_str().unwrap_or_default();
        table.push(vec![
            ticket["revision"].to_string(),
            ticket["number"].to_string(),
            digest.chars().take(12).collect(),
        ]);
    }
    Ok(table.to_string())
}
