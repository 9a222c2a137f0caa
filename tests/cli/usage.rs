//! Help texts, and the messages and exit codes of invalid command lines.

use crate::{lycheeyard, transcript};
use rstest::rstest;

fn run(args: &[&str]) -> String {
    let output = lycheeyard(args).output().expect("lycheeyard runs");
    transcript(args, &output)
}

#[test]
fn help_lists_the_commands() {
    insta::assert_snapshot!(run(&["--help"]));
}

#[test]
fn help_of_request_lists_its_options() {
    insta::assert_snapshot!(run(&["request", "--help"]));
}

#[test]
fn suggests_closest_name_for_typing_error() {
    let lines = [
        &["tikcet"][..],
        &["frobnicate"],
        &["ticket", "aply", "x.toml"],
        &["job", "explian", "a", "b"],
        &["status", "--jsno"],
        &["request", "s", "p", "--organization", "a"],
        &["request", "s", "p", "--colour", "a"],
        &["local", "--deployment", "cordilera"],
    ];
    let all: Vec<String> = lines.iter().map(|args| run(args)).collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn reports_invalid_argument_by_name() {
    let lines = [
        &["ticket", "show"][..],
        &["ticket", "show", "seven"],
        &["ticket", "list", "extra"],
        &["ticket", "wait", "7", "--timeout-ms", "soon"],
        &["job", "show", "org-a"],
        &["job", "cancel", "org a", "job"],
        &["request", "delay-maps"],
        &["request", "delay-maps", "lookup"],
        &["status", "--entry", "localhost"],
        &["status", "--entry"],
        &["audit", "--object", "planet/mars"],
        &["audit", "--after", "yesterday"],
        &["status", "--access-key-file", "missing.key"],
        &["ticket", "apply", "missing.toml"],
    ];
    let all: Vec<String> = lines.iter().map(|args| run(args)).collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[rstest]
#[case(&[])]
#[case(&["ticket"])]
#[case(&["job"])]
fn prints_usage_when_command_is_missing(#[case] args: &[&str]) {
    let output = lycheeyard(args).output().expect("lycheeyard runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("Usage:"));
}

#[test]
fn exits_with_code_5_when_entry_is_unreachable() {
    let args = ["status", "--entry", "127.0.0.1:1"];
    let output = lycheeyard(&args).output().expect("lycheeyard runs");
    assert_eq!(output.status.code(), Some(5));
}
