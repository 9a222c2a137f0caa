use super::{cluster::LocalCluster, tour::Tour};
use crate::{
    access_key::AccessKey,
    commands::{dispatch::unknown_word, flags},
    error::CliError,
};
use error_stack::Report;
use lycheeyard_logs::{LogFilter, LogFormat, LogOutput, LogSettings, start_logs};
use lycheeyard_standin::Deployment;
use strum::VariantNames;

const USAGE: &str = "Usage: lycheeyard local [OPTIONS]\n\n\
    Starts simulated platform services (stand-ins) and entry instances on loopback, and\n\
    runs the tour: it applies a ticket, runs jobs, sends requests, and checks the results\n\
    against the state of the stand-ins.";

/// Starts a local cluster, runs the tour against it and, unless `--exit` is given, waits for
/// Ctrl-C.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::common_options();
    options.optopt("", "deployment", "cordillera (default) or kapeng", "NAME");
    options.optflag(
        "",
        "exit",
        "exit after the tour instead of waiting for Ctrl-C",
    );
    options.optflag("", "no-tour", "start the cluster without running the tour");
    options.optflag(
        "",
        "free-ports",
        "listen on free ports instead of port 7400 and those after it",
    );
    options.optflag(
        "",
        "logs",
        "write the entry instances' logs to standard error",
    );
    let matches = match flags::parse(&options, args, USAGE)? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let deployment = match matches.opt_str("deployment") {
        Some(name) => parse_deployment(&name)?,
        None => Deployment::default(),
    };
    let _log_guard = matches.opt_present("logs").then(|| {
        start_logs(&LogSettings {
            format: LogFormat::Text,
            filter: LogFilter::default(),
            output: LogOutput::Stderr,
            is_flat: false,
        })
    });
    let [] = flags::positional(&matches, [])?;
    let exits_after_tour = matches.opt_present("exit");
    let fixed_ports = !exits_after_tour && !matches.opt_present("free-ports");
    let key = AccessKey::resolve(&matches)?.unwrap_or_else(AccessKey::random);
    let cluster = LocalCluster::start_with_key(deployment, fixed_ports, Some(key)).await?;
    if !matches.opt_present("no-tour") {
        match Tour::new(&cluster, deployment)?.run().await {
            Ok(table) => print!("{table}"),
            Err(err) => {
                cluster.stop().await;
                return Err(err);
            }
        }
    }
    if !exits_after_tour {
        print_access_and_wait(&cluster).await;
    }
    cluster.stop().await;
    Ok(String::new())
}

fn parse_deployment(name: &str) -> Result<Deployment, Report<CliError>> {
    let unknown_deployment =
        |_| flags::usage_error(unknown_word("deployment", name, Deployment::VARIANTS));
    name.parse().map_err(unknown_deployment)
}

/// Prints the addresses of the entry instances and the keys, and waits for Ctrl-C.
async fn print_access_and_wait(cluster: &LocalCluster) {
    for (data_centre, address) in &cluster.entries {
        println!("entry instance of {data_centre}: {address}");
    }
    if let Some(key) = &cluster.key {
        println!("operators' key, for the other commands:");
        println!("    export LYCHEEYARD_KEY={}", key.expose());
        println!(
            "an organisation's key after the tour: ORGANISATION.{}",
            key.expose()
        );
    }
    println!("Press Ctrl-C to end.");
    let _ = tokio::signal::ctrl_c().await;
}
