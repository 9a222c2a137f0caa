use super::show::{job_table, push_job};
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::{JobView, OrganisationId};

/// Lists the jobs of the entry instance's data centre.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    let help = "only this organisation's jobs; needed with an organisation's key";
    options.optopt("", "organisation", help, "NAME");
    let matches = match flags::parse(&options, args, "Usage: lycheeyard job list")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [] = flags::arguments(&matches, [])?;
    let organisation: Option<OrganisationId> = flags::option(&matches, "organisation")?;
    let client = flags::client(&matches)?;
    let mut views: Vec<JobView> = client.get_as("/v1/jobs", organisation.as_ref()).await?;
    views.retain(|view| {
        let own = organisation.as_ref();
        own.is_none_or(|own| *own == view.record.spec.organisation)
    });
    if matches.opt_present("json") {
        return Ok(serde_json::to_string(&views).unwrap_or_default());
    }
    let mut table = job_table();
    for view in &views {
        push_job(&mut table, view);
    }
    Ok(table.to_string())
}
