use super::{cluster::LocalCluster, tour::Tour};
use crate::{commands::flags, error::CliError};
use error_stack::Report;
use lycheeyard_entry::{LogFormat, start_logs};
use lycheeyard_standin::Deployment;

/// Starts stand-ins and entry instances, goes through the tour and stays up unless told to end.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let mut options = flags::call_options();
    options.optopt("", "deployment", "cordillera (default) or kapeng", "NAME");
    options.optflag("", "exit", "end after the tour");
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
        Some(name) => flags::value::<Deployment>("--deployment", &name)?,
        None => Deployment::default(),
    };
    if matches.opt_present("logs") {
        start_logs(LogFormat::Text);
    }
    let exit = matches.opt_present("exit");
    let cluster = LocalCluster::start(deployment, !exit).await?;
    let table = Tour::new(&cluster, deployment)?.run().await;
    let table = match table {
        Ok(table) => table,
        Err(err) => {
            cluster.stop().await;
            return Err(err);
        }
    };
    if exit {
        cluster.stop().await;
        return Ok(table.to_string());
    }
    println!("{table}");
    for (data_centre, address) in &cluster.entries {
        println!("entry instance of {data_centre}: {address}");
    }
    println!("Press Ctrl-C to end.");
    let _ = tokio::signal::ctrl_c().await;
    cluster.stop().await;
    Ok(String::new())
}
