use super::{apply, list, show, wait};
use crate::{
    commands::{dispatch::unknown_word, flags},
    error::CliError,
};
use error_stack::Report;

const COMMANDS: &[&str] = &["apply", "show", "list", "wait"];
const HELP: &str = "Usage: lycheeyard ticket apply FILE | show NUMBER | list | wait NUMBER";

/// Runs the `ticket` subcommand named by the first argument.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage_error(HELP.to_owned()));
    };
    match command.as_str() {
        "apply" => apply::run(rest).await,
        "show" => show::run(rest).await,
        "list" => list::run(rest).await,
        "wait" => wait::run(rest).await,
        "--help" | "-h" => Ok(HELP.to_owned()),
        other => Err(flags::usage_error(unknown_word(
            "ticket command",
            other,
            COMMANDS,
        ))),
    }
}
