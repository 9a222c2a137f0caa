use crate::{client::Response, commands::flags, error::CliError};
use bytes::Bytes;
use error_stack::Report;
use getopts::Matches;
use http_body_util::Full;
use hyper::Request;
use lycheeyard_protocol::{IdempotencyKey, OrganisationId, ServiceId};
use serde_json::json;

const OUTCOME_HEADER: &str = "lycheeyard-outcome";
const RUNNER_HEADER: &str = "lycheeyard-runner";

/// Sends one request to a service and prints the response.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    options.optopt(
        "",
        "organisation",
        "organisation that sends the request (required)",
        "NAME",
    );
    options.optopt(
        "",
        "deadline-ms",
        "deadline of the request (default 10000)",
        "MS",
    );
    options.optopt(
        "",
        "key",
        "idempotency key; marks the request as non-idempotent",
        "KEY",
    );
    options.optopt("", "body", "body of the request", "TEXT");
    let usage_line = "Usage: lycheeyard request SERVICE PATH --organisation NAME";
    let matches = match flags::parse(&options, args, usage_line)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let req = build_request(&matches)?;
    let client = flags::client(&matches)?;
    let response = client.send(req).await?;
    let is_problem = response
        .headers
        .get("content-type")
        .is_some_and(|value| value == "application/problem+json");
    if is_problem {
        return Err(client.read_problem(&response));
    }
    let text = String::from_utf8_lossy(&response.body).into_owned();
    if matches.opt_present("json") {
        let outcome = header_text(&response, OUTCOME_HEADER);
        let runner = header_text(&response, RUNNER_HEADER);
        let status = response.status.as_u16();
        return Ok(
            json!({ "status": status, "outcome": outcome, "runner": runner, "body": text })
                .to_string(),
        );
    }
    Ok(text)
}

fn build_request(matches: &Matches) -> Result<Request<Full<Bytes>>, Report<CliError>> {
    let [service, path] = flags::positional(matches, ["SERVICE", "PATH"])?;
    let service: ServiceId = flags::parse_value("SERVICE", service)?;
    let path = path.trim_start_matches('/');
    let organisation: Option<OrganisationId> = flags::parse_option(matches, "organisation")?;
    let organisation =
        organisation.ok_or_else(|| flags::usage_error("--organisation is required".to_owned()))?;
    let deadline_ms: Option<u64> = flags::parse_option(matches, "deadline-ms")?;
    let key: Option<IdempotencyKey> = flags::parse_option(matches, "key")?;
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
        .map_err(|err| flags::usage_error(format!("invalid request: {err}")))
}

fn header_text<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    let value = response.headers.get(name);
    value.and_then(|value| value.to_str().ok())
}
