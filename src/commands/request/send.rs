use crate::{client::Answer, commands::flags, error::CliError};
use bytes::Bytes;
use error_stack::Report;
use getopts::Matches;
use http_body_util::Full;
use hyper::Request;
use lycheeyard_protocol::{IdempotencyKey, OrganisationId, ServiceId};
use serde_json::json;

const OUTCOME_HEADER: &str = "lycheeyard-outcome";
const RUNNER_HEADER: &str = "lycheeyard-runner";

/// Sends one request to a service and prints the answer.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    options.optopt(
        "",
        "organisation",
        "organisation that sends it (required)",
        "NAME",
    );
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
    let matches = match flags::parse(&options, args, brief)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let req = make_request(&matches)?;
    let client = flags::client(&matches)?;
    let answer = client.send(req).await?;
    let is_problem = answer
        .headers
        .get("content-type")
        .is_some_and(|value| value == "application/problem+json");
    if is_problem {
        return Err(client.read_problem(&answer));
    }
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    if matches.opt_present("json") {
        let outcome = header(&answer, OUTCOME_HEADER);
        let runner = header(&answer, RUNNER_HEADER);
        let status = answer.status.as_u16();
        return Ok(
            json!({ "status": status, "outcome": outcome, "runner": runner, "body": text })
                .to_string(),
        );
    }
    Ok(text)
}

fn make_request(matches: &Matches) -> Result<Request<Full<Bytes>>, Report<CliError>> {
    let [service, path] = flags::arguments(matches, ["SERVICE", "PATH"])?;
    let service: ServiceId = flags::value("SERVICE", service)?;
    let path = path.trim_start_matches('/');
    let organisation: Option<OrganisationId> = flags::option(matches, "organisation")?;
    let organisation =
        organisation.ok_or_else(|| flags::usage("--organisation is required".to_owned()))?;
    let deadline_ms: Option<u64> = flags::option(matches, "deadline-ms")?;
    let key: Option<IdempotencyKey> = flags::option(matches, "key")?;
    let mut req = Request::post(format!("/v1/services/{service}/{path}"))
        .header("lycheeyard-organisation", organisation.as_str());
    if let Some(deadline_ms) = deadline_ms {
        req = req.header("lycheeyard-deadline-ms", deadline_ms);
    }
    if let Some(key) = key {
        req = req.header("idempotency-key", key.as_str());
        req = req.header("lycheeyard-idempotent", "false");
    }
    let body = Bytes::from(matches.opt_str("body").unwrap_or_default());
    req.body(Full::new(body))
        .map_err(|err| flags::usage(format!("the request cannot be made: {err}")))
}

fn header<'a>(answer: &'a Answer, name: &str) -> Option<&'a str> {
    let value = answer.headers.get(name);
    value.and_then(|value| value.to_str().ok())
}
