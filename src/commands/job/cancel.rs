use super::show::{format_view, job_path};
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::JobView;

/// Requests the cancellation of a job.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let usage_line = "Usage: lycheeyard job cancel ORGANISATION JOB";
    let matches = match flags::parse(&options, args, usage_line)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let path = job_path(&matches)?;
    let view: JobView = flags::client(&matches)?.delete(&path).await?;
    if matches.opt_present("json") {
        return format_view(&view, true);
    }
    let record = &view.record;
    let (organisation, job) = (&record.spec.organisation, &record.spec.job);
    if record.state.is_final() {
        return Ok(format!(
            "job {organisation}/{job} has ended: {}",
            record.state
        ));
    }
    Ok(format!(
        "cancellation of job {organisation}/{job} is requested"
    ))
}
