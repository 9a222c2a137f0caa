use crate::{commands::flags, error::CliError};
use bytes::Bytes;
use error_stack::Report;
use http_body_util::Full;
use hyper::Request;

/// Sends one request to a service and prints the answer.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    options.reqopt("", "organisation", "organisation that sends it", "NAME");
    options.optopt(
        "",
        "deadline-ms",
        "time for the answer (default 10000)",
        "MS",
    );
    options.optopt(
        "",
        "key",
        "idempotency key; makes the request non-idempotent",
        "KEY",
    );
    options.optopt("", "body", "body to send", "TEXT");
    let brief = "Usage: lycheeyard request SERVICE PATH --organisation NAME";
    if args.iter().any(|arg| arg == "--help" || arg == "-h") {
        return Ok(options.usage(brief));
    }
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let service = flags::argument(&matches, 0, "SERVICE")?;
    let path = flags::argument(&matches, 1, "PATH")?.trim_start_matches('/');
    let organisation = matches.opt_str("organisation").unwrap_or_default();
    let mut req = Request::post(format!("/v1/services/{service}/{path}"))
        .header("lycheeyard-organisation", organisation);
    if let Some(deadline) = matches.opt_str("deadline-ms") {
        req = req.header("lycheeyard-deadline-ms", deadline);
    }
    if let Some(key) = matches.opt_str("key") {
        req = req.header("idempotency-key", key);
        req = req.header("lycheeyard-idempotent", "false");
    }
    let body = Bytes::from(matches.opt_str("body").unwrap_or_default());
    let req = req
        .body(Full::new(body))
        .map_err(|err| flags::usage(format!("the request cannot be made: {err}")))?;
    let client = flags::client(&matches)?;
    let answer = client.send(req).await?;
    let is_problem = answer
        .headers
        .get("content-type")
        .is_some_and(|value| value == "application/problem+json");
    if is_problem {
        return Err(client.read_problem(&answer));
    }
    Ok(String::from_utf8_lossy(&answer.body).into_owned())
}
