//! Golden files of whole command-line sessions.

use std::process::{Command, Output};

fn lycheeyard(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lycheeyard"));
    command.env_remove("LYCHEEYARD_ENTRY").args(args);
    command.output().expect("the program runs")
}

/// The session as text; the milliseconds at the end of table rows are left out.
fn transcript(args: &[&str]) -> String {
    let output = lycheeyard(args);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let rows: Vec<&str> = text
        .lines()
        .map(|line| {
            line.trim_end_matches(|c: char| c.is_ascii_digit())
                .trim_end()
        })
        .collect();
    format!(
        "$ lycheeyard {}\n{}\n{}exit code {:?}",
        args.join(" "),
        rows.join("\n"),
        String::from_utf8_lossy(&output.stderr),
        output.status.code()
    )
}

#[test]
fn local_tour_of_cordillera() {
    insta::assert_snapshot!(transcript(&["local", "--exit"]));
}

#[test]
fn local_tour_of_kapeng() {
    insta::assert_snapshot!(transcript(&["local", "--exit", "--deployment", "kapeng"]));
}

#[test]
fn unknown_command_names_the_nearest() {
    insta::assert_snapshot!(transcript(&["tikcet"]));
}

#[test]
fn help_lists_the_commands() {
    insta::assert_snapshot!(transcript(&["--help"]));
}

#[test]
fn missing_entry_is_out_of_reach() {
    let output = lycheeyard(&["status", "--entry", "127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(5));
}
