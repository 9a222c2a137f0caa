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

/// Adds the flags that describe a load run.
pub fn add_options(options: &mut CommandOptions) {
    options.optopt("", "document", "load document in TOML or JSON", "FILE");
    options.optopt(
        "",
        "rate",
        "open loop: mean requests a second (default 500)",
        "N",
    );
    options.optopt(
        "",
        "callers",
        "closed loop: callers that each wait for an answer",
        "N",
    );
    options.optopt("", "duration-ms", "length of the run (default 10000)", "MS");
    options.optopt(
        "",
        "warm-up-ms",
        "start that is left out (default 1000)",
        "MS",
    );
    options.optopt(
        "",
        "deadline-ms",
        "time for each answer (default 1000)",
        "MS",
    );
    options.optopt("", "body-bytes", "size of each request (default 200)", "N");
    options.optopt(
        "",
        "work-us",
        "work of each request at a runner stand-in",
        "US",
    );
    options.optopt("", "seed", "seed of the arrivals (default 0)", "N");
}

/// Reads the load document, with the flags put over it.
pub fn read_load(
    matches: &Matches,
    deployment: Deployment,
) -> Result<LoadDocument, Report<CliError>> {
    let mut document = match matches.opt_str("document") {
        Some(path) => read_document(&path)?,
        None => default_document(deployment)?,
    };
    if let Some(rate) = number(matches, "rate")? {
        document.mode = LoadMode::Open { rate };
    }
    if let Some(callers) = number(matches, "callers")? {
        document.mode = LoadMode::Closed { callers };
    }
    document.duration_ms = number(matches, "duration-ms")?.unwrap_or(document.duration_ms);
    document.warm_up_ms = number(matches, "warm-up-ms")?.unwrap_or(document.warm_up_ms);
    document.deadline_ms = number(matches, "deadline-ms")?.unwrap_or(document.deadline_ms);
    document.body_bytes = number(matches, "body-bytes")?.unwrap_or(document.body_bytes);
    document.work_us = number(matches, "work-us")?.or(document.work_us);
    document.seed = number(matches, "seed")?.unwrap_or(document.seed);
    document
        .check()
        .map_err(|err| flags::usage(err.to_string()))?;
    Ok(document)
}

fn default_document(deployment: Deployment) -> Result<LoadDocument, Report<CliError>> {
    let mut organisations = Vec::new();
    for id in ["org-a", "org-b", "org-c", "org-d"] {
        organisations.push(OrganisationShare {
            id: flags::value("organisation", id)?,
            share: 1,
            key: None,
        });
    }
    Ok(LoadDocument {
        mode: LoadMode::Open { rate: DEFAULT_RATE },
        duration_ms: DEFAULT_DURATION_MS,
        warm_up_ms: DEFAULT_WARM_UP_MS,
        seed: 0,
        service: flags::value("service", deployment.service())?,
        path: "lookup".to_owned(),
        body_bytes: DEFAULT_BODY_BYTES,
        deadline_ms: DEFAULT_DEADLINE_MS,
        work_us: None,
        organisations,
        faults: Vec::new(),
    })
}

fn number<T: std::str::FromStr>(
    matches: &Matches,
    name: &str,
) -> Result<Option<T>, Report<CliError>>
where
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name);
    text.map(|text| flags::value(&format!("--{name}"), &text))
        .transpose()
}
