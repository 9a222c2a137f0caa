//! Runs the `lycheeyard` binary as a user does, alone or against a local cluster started for the
//! test.

mod access;
mod cluster;
mod documents;
mod examples;
mod logs;
mod metrics;
mod redact;
mod redaction;
mod session;
mod usage;

use redact::redact;
use std::process::{Command, Output};

/// Creates a command for the binary, without the environment variables that it reads.
fn lycheeyard(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheeyard"));
    for name in ["LYCHEEYARD_ENTRY", "LYCHEEYARD_KEY", "LYCHEEYARD_KEY_FILE"] {
        command.env_remove(name);
    }
    command.args(args);
    command
}

/// Formats the arguments, output and exit code of a command, with volatile parts redacted.
fn transcript(args: &[&str], output: &Output) -> String {
    let text = format!(
        "$ lycheeyard {}\n{}{}exit code {}\n",
        quote(args),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
        output
            .status
            .code()
            .expect("lycheeyard exited without a signal"),
    );
    redact(&text)
}

fn quote(args: &[&str]) -> String {
    let quoted = args.iter().map(|arg| {
        if arg.contains(' ') {
            format!("'{arg}'")
        } else {
            (*arg).to_owned()
        }
    });
    quoted.collect::<Vec<_>>().join(" ")
}
