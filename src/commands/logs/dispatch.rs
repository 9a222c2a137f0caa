use super::{explain, summary};
use crate::{
    commands::{dispatch::unknown_word, flags},
    error::CliError,
};
use error_stack::Report;

const COMMANDS: &[&str] = &["explain", "summary"];
const HELP: &str = "Usage: lycheeyard logs explain JOB FILE... | summary FILE...";

/// Runs the `logs` subcommand named by the first argument.
pub fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage_error(HELP.to_owned()));
    };
    match command.as_str() {
        "explain" => explain::run(rest),
        "summary" => summary::run(rest),
        "--help" | "-h" => Ok(HELP.to_owned()),
        other => Err(flags::usage_error(unknown_word(
            "logs command",
            other,
            COMMANDS,
        ))),
    }
}
