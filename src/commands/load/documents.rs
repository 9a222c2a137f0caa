use crate::{
    commands::{flags, options::CommandOptions},
    documents::read_document,
    error::CliError,
};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_bench::{LoadDocument, LoadMode, OrganisationShare};
use lycheeyard_protocol::RequestsPerSecond;
use lycheeyard_standin::Deployment;

const DEFAULT_RATE: RequestsPerSecond = RequestsPerSecond(500);
const DEFAULT_DURATION_MS: u64 = 10_000;
const DEFAULT_WARM_UP_MS: u64 = 1_000;
const DEFAULT_DEADLINE_MS: u64 = 1_000;
const DEFAULT_BODY_BYTES: usize = 200;

/// Adds the options that override fields of the load document.
pub fn add_options(options: &mut CommandOptions) {
    options.optopt("", "document", "load document in TOML or JSON", "FILE");
    options.optopt(
        "",
        "rate",
        "open loop: mean number of requests per second (default 500)",
        "N",
    );
    options.optopt(
        "",
        "callers",
        "closed loop: number of callers, each with one request in flight",
        "N",
    );
    options.optopt(
        "",
        "duration-ms",
        "duration of the run (default 10000)",
        "MS",
    );
    options.optopt(
        "",
        "warm-up-ms",
        "initial period excluded from the results (default 1000)",
        "MS",
    );
    options.optopt(
        "",
        "deadline-ms",
        "deadline of each request (default 1000)",
        "MS",
    );
    options.optopt(
        "",
        "body-bytes",
        "size of each request body (default 200)",
        "N",
    );
    options.optopt(
        "",
        "work-us",
        "simulated processing time of each request at a stand-in runner",
        "US",
    );
    options.optopt(
        "",
        "seed",
        "random seed of the arrival times (default 0)",
        "N",
    );
}

/// Reads the load document, or builds the default one, and overrides its fields with the options.
pub fn read_load_document(
    matches: &Matches,
    deployment: Deployment,
) -> Result<LoadDocument, Report<CliError>> {
    let mut document = match matches.opt_str("document") {
        Some(path) => read_document(&path)?,
        None => default_document(deployment)?,
    };
    if let Some(rate) = parse_number(matches, "rate")? {
        document.mode = LoadMode::Open { rate };
    }
    if let Some(callers) = parse_number(matches, "callers")? {
        document.mode = LoadMode::Closed { callers };
    }
    document.duration_ms = parse_number(matches, "duration-ms")?.unwrap_or(document.duration_ms);
    document.warm_up_ms = parse_number(matches, "warm-up-ms")?.unwrap_or(document.warm_up_ms);
    document.deadline_ms = parse_number(matches, "deadline-ms")?.unwrap_or(document.deadline_ms);
    document.body_bytes = parse_number(matches, "body-bytes")?.unwrap_or(document.body_bytes);
    document.work_us = parse_number(matches, "work-us")?.or(document.work_us);
    document.seed = parse_number(matches, "seed")?.unwrap_or(document.seed);
    document
        .check()
        .map_err(|err| flags::usage_error(err.to_string()))?;
    Ok(document)
}

fn default_document(deployment: Deployment) -> Result<LoadDocument, Report<CliError>> {
    let mut organisations = Vec::new();
    for id in ["org-a", "org-b", "org-c", "org-d"] {
        organisations.push(OrganisationShare {
            id: flags::parse_value("organisation", id)?,
            share: 1,
            key: None,
        });
    }
    Ok(LoadDocument {
        mode: LoadMode::Open { rate: DEFAULT_RATE },
        duration_ms: DEFAULT_DURATION_MS,
        warm_up_ms: DEFAULT_WARM_UP_MS,
        seed: 0,
        service: flags::parse_value("service", deployment.service())?,
        path: "lookup".to_owned(),
        body_bytes: DEFAULT_BODY_BYTES,
        deadline_ms: DEFAULT_DEADLINE_MS,
        work_us: None,
        organisations,
        faults: Vec::new(),
    })
}

fn parse_number<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<Option<T>, Report<CliError>>
where
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name);
    text.map(|text| flags::parse_value(&format!("--{name}"), &text))
        .transpose()
}
