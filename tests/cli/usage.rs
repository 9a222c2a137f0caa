//! Wrong command lines get a message that helps and exit code 2.

use crate::{lycheeyard, transcript};
use rstest::rstest;

fn run(args: &[&str]) -> String {
    let output = lycheeyard(args).output().expect("the program runs");
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
fn typing_errors_name_the_nearest() {
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
fn wrong_arguments_are_named() {
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
fn nothing_to_do_is_a_usage_error(#[case] args: &[&str]) {
    let output = lycheeyard(args).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("Usage:"));
}

#[test]
fn missing_entry_is_out_of_reach() {
    let args = ["status", "--entry", "127.0.0.1:1"];
    let output = lycheeyard(&args).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(5));
}
