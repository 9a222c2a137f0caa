use super::show::format_view;
use crate::{commands::flags, documents::read_document, error::CliError};
use error_stack::Report;
use lycheeyard_protocol::{JobSpec, JobView};

/// Submits the job that a file specifies.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let options = flags::common_options();
    let matches = match flags::parse(&options, args, "Usage: lycheeyard job submit FILE")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let [file] = flags::positional(&matches, ["FILE"])?;
    let spec: JobSpec = read_document(file)?;
    let path = format!("/v1/jobs/{}/{}", spec.organisation, spec.job);
    let view: JobView = flags::client(&matches)?.put(&path, &spec).await?;
    if matches.opt_present("json") {
        return format_view(&view, true);
    }
    let spec = &view.record.spec;
    let (organisation, job) = (&spec.organisation, &spec.job);
    Ok(format!(
        "job {organisation}/{job} is submitted to {}",
        spec.data_centre
    ))
}
