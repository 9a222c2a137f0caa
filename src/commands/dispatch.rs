use super::{audit, flags, job, load, local, request, status, ticket};
use crate::error::CliError;
use error_stack::Report;

const HELP: &str = "\
Usage: lycheeyard COMMAND [ARGS]

Commands:
  local     run stand-ins and entry instances on loopback and show a tour
  ticket    apply, show, list, wait
  job       submit, show, list, cancel, explain
  request   send a request to a service
  load      send many requests and measure the answers
  status    show entry instances and their revisions
  audit     show what was changed, by what and when

Each command has --help.

Exit codes: 0 done, 1 tour failed, 2 bad input, 3 refused (not run), 4 unknown, 5 out of reach,
6 not in force everywhere yet.";

const COMMANDS: &[&str] = &[
    "local", "ticket", "job", "request", "load", "status", "audit",
];

/// Runs the command that the arguments name, and gives the text to print.
///
/// # Errors
/// Fails with the reason and the exit code that belongs to it.
pub async fn run(args: &[String]) -> Result<String, Report<CliError>> {
    let Some((command, rest)) = args.split_first() else {
        return Err(flags::usage(HELP.to_owned()));
    };
    match command.as_str() {
        "load" => load::run(rest).await,
        "local" => local::run(rest).await,
        "ticket" => ticket::run(rest).await,
        "job" => job::run(rest).await,
        "request" => request::run(rest).await,
        "status" => status::run(rest).await,
        "audit" => audit::run(rest).await,
        "help" | "--help" | "-h" => Ok(HELP.to_owned()),
        "--version" | "-V" => Ok(format!("lycheeyard {}", env!("CARGO_PKG_VERSION"))),
        other => Err(flags::usage(unknown("command", other, COMMANDS))),
    }
}

/// The message for an unknown word, with the nearest known one.
pub fn unknown(kind: &str, word: &str, known: &[&str]) -> String {
    let hint = nearest(word, known).map_or_else(
        || format!("use one of {}", known.join(", ")),
        |near| format!("did you mean `{near}`?"),
    );
    format!("unknown {kind} `{word}`; {hint}")
}

/// The known word that is at most two edits away, where there is one.
pub fn nearest<'a>(word: &str, known: &[&'a str]) -> Option<&'a str> {
    const MAX_EDITS: usize = 2;
    let near = known.iter().min_by_key(|known| distance(word, known));
    near.copied()
        .filter(|known| distance(word, known) <= MAX_EDITS)
}

/// The number of single-character edits between two words.
fn distance(left: &str, right: &str) -> usize {
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
