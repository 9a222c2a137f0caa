use super::{cancel, explain, list, show, submit};
use crate::{
    commands::{dispatch::unknown_word, flags},
    error::CliError,
};
use error_stack::Report;

const COMMANDS: &[&str] = &["submit", "show", "list", "cancel", "explain"];
const HELP: &str = "Usage: lycheeyard job submit FILE | list | show ORGANISATION JOB | \
    cancel ORGANISATION JOB | explain ORGANISATION JOB";

/// Runs the `job` subcommand named by the first argument.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage_error(HELP.to_owned()));
    };
    match command.as_str() {
        "submit" => submit::run(rest).await,
        "show" => show::run(rest).await,
        "list" => list::run(rest).await,
        "cancel" => cancel::run(rest).await,
        "explain" => explain::run(rest).await,
        "--help" | "-h" => Ok(HELP.to_owned()),
        other => Err(flags::usage_error(unknown_word(
            "job command",
            other,
            COMMANDS,
        ))),
    }
}
