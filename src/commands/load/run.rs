use super::{
    documents::{add_options, read_load_document},
    local_target::LocalTarget,
};
use crate::{commands::flags, error::CliError, output::format_json};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_bench::{LoadDocument, LoadReport, Progress, Target, plot_report, run_load};
use lycheeyard_standin::Deployment;
use std::{collections::BTreeMap, io::IsTerminal, net::SocketAddr, time::Duration};
use tokio::time::interval;

const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
const BRIEF: &str = "Usage: lycheeyard load [--local | --target IP:PORT ...] [OPTIONS]\n\n\
    Generates load and measures latency as callers see it, from the time at which\n\
    each request was due.";

/// Runs the load generator and returns the report.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    add_options(&mut options);
    options.optmulti(
        "",
        "target",
        "entry instance to send requests to; may be repeated",
        "IP:PORT",
    );
    options.optmulti(
        "",
        "runner",
        "runner to send requests to directly; may be repeated",
        "IP:PORT",
    );
    options.optflag(
        "",
        "local",
        "start stand-ins and entry instances for the run",
    );
    options.optflag(
        "",
        "compare",
        "with --local: also send requests directly to the runners",
    );
    options.optopt(
        "",
        "deployment",
        "with --local: cordillera (default) or kapeng",
        "NAME",
    );
    options.optopt(
        "",
        "plot",
        "write an SVG plot of requests and responses per second",
        "FILE",
    );
    let matches = match flags::parse(&options, args, BRIEF)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let deployment = match matches.opt_str("deployment") {
        Some(name) => flags::parse_value::<Deployment>("--deployment", &name)?,
        None => Deployment::default(),
    };
    let document = read_load_document(&matches, deployment)?;
    if matches.opt_present("local") {
        run_local(&matches, deployment, document).await
    } else {
        let report = send_load(document, remote_targets(&matches)?, &BTreeMap::new()).await?;
        finish_report(&matches, &report)
    }
}

async fn run_local(
    matches: &Matches,
    deployment: Deployment,
    document: LoadDocument,
) -> Result<String, Report<CliError>> {
    let target = LocalTarget::start(deployment, &document).await?;
    let standins = target.standin_addresses();
    if !matches.opt_present("compare") {
        let report = send_load(document, target.entries(), &standins).await;
        target.stop().await;
        return finish_report(matches, &report?);
    }
    let direct = send_load(document.clone(), target.runners(), &standins).await;
    let routed = send_load(document, target.entries(), &standins).await;
    target.stop().await;
    let (direct, routed) = (direct?, routed?);
    let text = finish_report(matches, &routed)?;
    if matches.opt_present("json") {
        return Ok(text);
    }
    Ok(format!(
        "directly to the runners:\n{direct}\nthrough entry instances:\n{text}\n{}",
        format_overhead(&direct, &routed)
    ))
}

fn format_overhead(direct: &LoadReport, routed: &LoadReport) -> String {
    let added = i128::from(routed.total.p50_us) - i128::from(direct.total.p50_us);
    let percent = routed.goodput() * 100 / direct.goodput().max(1);
    format!("added median latency {added} us; goodput {percent}% of that without entry instances")
}

fn remote_targets(matches: &Matches) -> Result<Vec<Target>, Report<CliError>> {
    let mut targets = Vec::new();
    for text in matches.opt_strs("target") {
        targets.push(Target::Entry(flags::parse_value::<SocketAddr>(
            "--target", &text,
        )?));
    }
    for text in matches.opt_strs("runner") {
        targets.push(Target::Runner(flags::parse_value::<SocketAddr>(
            "--runner", &text,
        )?));
    }
    if targets.is_empty() {
        return Err(flags::usage_error(
            "at least one --target or --runner, or --local, is required".to_owned(),
        ));
    }
    Ok(targets)
}

async fn send_load(
    document: LoadDocument,
    targets: Vec<Target>,
    standins: &BTreeMap<String, SocketAddr>,
) -> Result<LoadReport, Report<CliError>> {
    let progress = Progress::default();
    let display = tokio::spawn(display_progress(progress.clone()));
    let report = run_load(document, targets, standins, progress).await;
    display.abort();
    report.map_err(|err| flags::usage_error(err.to_string()))
}

/// Prints the progress to standard error every 500 ms, if that is a terminal.
async fn display_progress(progress: Progress) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    let mut ticker = interval(PROGRESS_INTERVAL);
    loop {
        ticker.tick().await;
        eprint!(
            "\rsent {} finished {}",
            progress.sent(),
            progress.finished()
        );
    }
}

/// Writes the plot, if one is requested, and formats the report.
fn finish_report(matches: &Matches, report: &LoadReport) -> Result<String, Report<CliError>> {
    if let Some(path) = matches.opt_str("plot") {
        let svg = plot_report(report).map_err(|err| flags::usage_error(err.to_string()))?;
        std::fs::write(&path, svg).map_err(|err| flags::usage_error(format!("{path}: {err}")))?;
    }
    if matches.opt_present("json") {
        return format_json(report);
    }
    Ok(report.to_string())
}
