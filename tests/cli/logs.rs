//! Reading log files of instances on the users' platform. Guards against a job whose course the people on call cannot find
//! out, and against missing lines that nobody notices.

use crate::{lycheeyard, transcript};

const HOLDER: &str = "tests/cli/logs/holder.log";
const COLLECTED: &str = "tests/cli/logs/collected.log";

fn run(args: &[&str]) -> String {
    let output = lycheeyard(args).output().expect("lycheeyard runs");
    // Not redacted: the times are those of the files.
    format!(
        "{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    )
}

#[test]
fn explains_course_of_job() {
    insta::assert_snapshot!(run(&["logs", "explain", "a1", HOLDER, COLLECTED]));
}

#[test]
fn says_which_lines_are_missing() {
    let lines = [
        &["logs", "explain", "b2", HOLDER][..],
        &["logs", "explain", "unknown", HOLDER, COLLECTED],
    ];
    let all: Vec<String> = lines.iter().map(|args| run(args)).collect();
    insta::assert_snapshot!(all.join("\n"));
}

#[test]
fn summarises_jobs_of_each_priority() {
    insta::assert_snapshot!(run(&["logs", "summary", HOLDER, COLLECTED]));
}

#[test]
fn rejects_missing_arguments_and_files() {
    let lines = [
        &["logs"][..],
        &["logs", "explian", "a1"],
        &["logs", "explain"],
        &["logs", "explain", "a1"],
        &["logs", "summary", "tests/cli/logs/none.log"],
    ];
    let all = lines.iter().map(|args| {
        let output = lycheeyard(args).output().expect("lycheeyard runs");
        transcript(args, &output)
    });
    insta::assert_snapshot!(all.collect::<Vec<_>>().join("\n"));
}
