use super::{apply, list, show, wait};
use crate::{
    commands::{dispatch::unknown, flags},
    error::CliError,
};
use error_stack::Report;

const COMMANDS: &[&str] = &["apply", "show", "list", "wait"];
const HELP: &str = "Usage: lycheeyard ticket apply FILE | show NUMBER | list | wait NUMBER";

/// Runs a ticket command.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage(HELP.to_owned()));
    };
    match command.as_str() {
        "apply" => apply::run(rest).await,
        "show" => show::run(rest).await,
        "list" => list::run(rest).await,
        "wait" => wait::run(rest).await,
        "--help" | "-h" => Ok(HELP.to_owned()),
        other => Err(flags::usage(unknown("ticket command", other, COMMANDS))),
    }
}
