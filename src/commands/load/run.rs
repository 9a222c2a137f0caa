use super::{
    documents::{add_options, read_load},
    local_target::LocalTarget,
};
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use getopts::Matches;
use lycheeyard_bench::{LoadDocument, LoadReport, Progress, Target, plot_report, run_load};
use lycheeyard_standin::Deployment;
use std::{collections::BTreeMap, io::IsTerminal, net::SocketAddr, time::Duration};
use tokio::time::interval;

const PROGRESS_EVERY: Duration = Duration::from_millis(500);
const BRIEF: &str = "Usage: lycheeyard load [--local | --target IP:PORT ...] [OPTIONS]\n\n\
    Sends requests and measures what their callers see, from when each was due.";

/// Makes a load run and reports it.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    add_options(&mut options);
    options.optmulti(
        "",
        "target",
        "entry instance to send to; may stand more than once",
        "IP:PORT",
    );
    options.optmulti("", "runner", "runner to send to directly", "IP:PORT");
    options.optflag(
        "",
        "local",
        "start stand-ins and entry instances for the run",
    );
    options.optflag(
        "",
        "compare",
        "with --local: also send straight to the runners",
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
        "write requests and answers by second as SVG",
        "FILE",
    );
    let matches = match flags::parse(&options, args, BRIEF)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let deployment = match matches.opt_str("deployment") {
        Some(name) => flags::value::<Deployment>("--deployment", &name)?,
        None => Deployment::default(),
    };
    let document = read_load(&matches, deployment)?;
    if matches.opt_present("local") {
        run_local(&matches, deployment, document).await
    } else {
        let report = send(document, remote_targets(&matches)?, &BTreeMap::new()).await?;
        finish(&matches, &report)
    }
}

async fn run_local(
    matches: &Matches,
    deployment: Deployment,
    document: LoadDocument,
) -> Result<String, Report<CliError>> {
    let target = LocalTarget::start(deployment, &document).await?;
    let names = target.names();
    if !matches.opt_present("compare") {
        let report = send(document, target.entries(), &names).await;
        target.stop().await;
        return finish(matches, &report?);
    }
    let direct = send(document.clone(), target.runners(), &names).await;
    let routed = send(document, target.entries(), &names).await;
    target.stop().await;
    let (direct, routed) = (direct?, routed?);
    let text = finish(matches, &routed)?;
    if matches.opt_present("json") {
        return Ok(text);
    }
    Ok(format!(
        "straight to the runners:\n{direct}\nthrough entry instances:\n{text}\n{}",
        ratios(&direct, &routed)
    ))
}

fn ratios(direct: &LoadReport, routed: &LoadReport) -> String {
    let added = i128::from(routed.total.p50_us) - i128::from(direct.total.p50_us);
    let percent = routed.goodput() * 100 / direct.goodput().max(1);
    format!("added median latency {added} us; goodput {percent}% of the direct one")
}

fn remote_targets(matches: &Matches) -> Result<Vec<Target>, Report<CliError>> {
    let mut targets = Vec::new();
    for text in matches.opt_strs("target") {
        targets.push(Target::Entry(flags::value::<SocketAddr>(
            "--target", &text,
        )?));
    }
    for text in matches.opt_strs("runner") {
        targets.push(Target::Runner(flags::value::<SocketAddr>(
            "--runner", &text,
        )?));
    }
    if targets.is_empty() {
        return Err(flags::usage(
            "name a --target, a --runner or --local".to_owned(),
        ));
    }
    Ok(targets)
}

async fn send(
    document: LoadDocument,
    targets: Vec<Target>,
    names: &BTreeMap<String, SocketAddr>,
) -> Result<LoadReport, Report<CliError>> {
    let progress = Progress::default();
    let shown = tokio::spawn(show(progress.clone()));
    let report = run_load(document, targets, names, progress).await;
    shown.abort();
    report.map_err(|err| flags::usage(err.to_string()))
}

/// Writes the progress to a terminal.
async fn show(progress: Progress) {
    if !std::io::stderr().is_terminal() {
        return;
    }
    let mut ticks = interval(PROGRESS_EVERY);
    loop {
        ticks.tick().await;
        eprint!(
            "\rsent {} finished {}",
            progress.sent(),
            progress.finished()
        );
    }
}

fn finish(matches: &Matches, report: &LoadReport) -> Result<String, Report<CliError>> {
    if let Some(path) = matches.opt_str("plot") {
        let svg = plot_report(report).map_err(|err| flags::usage(err.to_string()))?;
        std::fs::write(&path, svg).map_err(|err| flags::usage(format!("{path}: {err}")))?;
    }
    if matches.opt_present("json") {
        return Ok(serde_json::to_string(report).unwrap_or_default());
    }
    Ok(report.to_string())
}
