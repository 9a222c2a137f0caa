use super::{cluster::LocalCluster, tour::Tour};
use crate::{
    access_key::AccessKey,
    commands::{dispatch::unknown, flags},
    error::CliError,
};
use error_stack::Report;
use lycheeyard_logs::{LogFilter, LogFormat, LogOutput, LogSettings, start_logs};
use lycheeyard_standin::Deployment;
use strum::VariantNames;

/// Starts stand-ins and entry instances, goes through the tour and stays up unless told to end.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    options.optopt("", "deployment", "cordillera (default) or kapeng", "NAME");
    options.optflag("", "exit", "end after the tour");
    options.optflag("", "no-tour", "start everything, but apply and run nothing");
    options.optflag(
        "",
        "free-ports",
        "listen on free ports instead of 7400 onwards",
    );
    options.optflag(
        "",
        "logs",
        "write the entry instances' logs to standard error",
    );
    let matches = match flags::parse(&options, args, "Usage: lycheeyard local")? {
        Ok(matches) => matches,
        Err(help) => return Ok(help),
    };
    let deployment = match matches.opt_str("deployment") {
        Some(name) => parse_deployment(&name)?,
        None => Deployment::default(),
    };
    let _guard = matches.opt_present("logs").then(|| {
        start_logs(&LogSettings {
            format: LogFormat::Text,
            filter: LogFilter::default(),
            output: LogOutput::Stderr,
            is_flat: false,
        })
    });
    let [] = flags::arguments(&matches, [])?;
    let exit = matches.opt_present("exit");
    let fixed_ports = !exit && !matches.opt_present("free-ports");
    let key = AccessKey::find(&matches)?.unwrap_or_else(AccessKey::random);
    let cluster = LocalCluster::start_with(deployment, fixed_ports, Some(key)).await?;
    if !matches.opt_present("no-tour") {
        match Tour::new(&cluster, deployment)?.run().await {
            Ok(table) => print!("{table}"),
            Err(err) => {
                cluster.stop().await;
                return Err(err);
            }
        }
    }
    if !exit {
        stay_up(&cluster).await;
    }
    cluster.stop().await;
    Ok(String::new())
}

fn parse_deployment(name: &str) -> Result<Deployment, Report<CliError>> {
    let unknown = |_| flags::usage(unknown("deployment", name, Deployment::VARIANTS));
    name.parse().map_err(unknown)
}

/// Tells how to reach the instances and waits for Ctrl-C.
async fn stay_up(cluster: &LocalCluster) {
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
