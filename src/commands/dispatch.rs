use super::{audit, flags, job, load, local, logs, request, status, ticket};
use crate::error::CliError;
use error_stack::Report;

const HELP: &str = "\
Usage: lycheeyard COMMAND [ARGS]

Commands:
  local     start simulated services (stand-ins) and entry instances on
            loopback, and run an end-to-end check (the tour)
  ticket    apply, show, list, wait
  job       submit, show, list, cancel, explain
  request   send a request to a service
  load      generate load and measure the responses
  status    show entry instances and their revisions
  audit     show which changes were made, when and by which instance
  logs      explain, summary: read log files of instances on the users' platform

Every command accepts --help.

Exit codes: 0 success, 1 local cluster or tour failed, 2 invalid input, 3 rejected (not run),
4 outcome unknown, 5 instance unreachable or its response invalid, 6 ticket not yet in force at
every instance.";

const COMMANDS: &[&str] = &[
    "local", "ticket", "job", "request", "load", "status", "audit", "logs",
];

/// Runs the command named by the first argument and returns the text to print.
///
/// # Errors
/// Fails with the reason, which also determines the exit code.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage_error(HELP.to_owned()));
    };
    match command.as_str() {
        "load" => load::run(rest).await,
        "local" => local::run(rest).await,
        "ticket" => ticket::run(rest).await,
        "job" => job::run(rest).await,
        "request" => request::run(rest).await,
        "status" => status::run(rest).await,
        "audit" => audit::run(rest).await,
        "logs" => logs::run(rest),
        "help" | "--help" | "-h" => Ok(HELP.to_owned()),
        "--version" | "-V" => Ok(format!("lycheeyard {}", env!("CARGO_PKG_VERSION"))),
        other => Err(flags::usage_error(unknown_word("command", other, COMMANDS))),
    }
}

/// Formats the message for an unknown word, with the closest known word as a suggestion.
pub fn unknown_word(kind: &str, word: &str, known: &[&str]) -> String {
    let hint = closest_match(word, known).map_or_else(
        || format!("use one of {}", known.join(", ")),
        |closest| format!("did you mean `{closest}`?"),
    );
    format!("unknown {kind} `{word}`; {hint}")
}

/// Finds the closest known word within an edit distance of two.
pub fn closest_match<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    const MAX_EDITS: usize = 2;
    let closest = known.iter().min_by_key(|known| edit_distance(word, known));
    closest
        .copied()
        .filter(|known| edit_distance(word, known) <= MAX_EDITS)
}

/// Computes the Levenshtein distance between two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, &b) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(a != b);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
