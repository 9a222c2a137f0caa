//! Settings from flags and variables, their errors, and the page that documents them.
//!
//! Guards against errors that do not name the setting or that print a key, and against a page that differs from the
//! help text.

use lycheeyard_entry::{SettingsError, StartupAction, read_settings};
use rstest::rstest;
use std::{collections::BTreeMap, path::Path, process::Command};

const DIGEST: &str = "7ec1eeceaed18b822fdb7a482d0706d7a182e0fad188cd913876903f21caef50";
const REQUIRED: &[&str] = &[
    "--instance",
    "e1",
    "--data-centre",
    "dc1",
    "--store",
    "127.0.0.1:1",
    "--instances",
    "127.0.0.1:2",
];

fn read_with(more: &[&str], env: &[(&str, &str)]) -> Result<StartupAction, SettingsError> {
    let args: Vec<String> = REQUIRED
        .iter()
        .chain(more)
        .map(|arg| (*arg).to_owned())
        .collect();
    let env: BTreeMap<String, String> = env
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect();
    read_settings(&args, &env)
}

#[test]
fn flag_wins_over_variable_and_both_over_default() {
    let env = [
        ("LYCHEEYARD_DRAIN_MS", "7"),
        ("LYCHEEYARD_SCHEDULER_LEASE_MS", "900"),
        ("LYCHEEYARD_OPERATOR_KEY_DIGESTS", DIGEST),
    ];
    let action = read_with(&["--drain-ms", "8", "--check-settings"], &env);
    let Ok(StartupAction::Print(text)) = action else {
        panic!("settings are not printed: {action:?}");
    };
    insta::assert_snapshot!(text);
}

#[rstest]
#[case(&["--scheduler-lease-ms", "499"])]
#[case(&["--scheduler-lease-ms", "soon"])]
#[case(&["--drain-ms", "-1"])]
#[case(&["--listen", "localhost:7400"])]
#[case(&["--peer-listen", "7401"])]
#[case(&["--incarnation", "one"])]
#[case(&["--access", "closed"])]
#[case(&["--log-format", "yaml"])]
#[case(&["--log-filter", "entry=loud"])]
fn error_names_setting_and_invalid_value(#[case] more: &[&str]) {
    let err = read_with(more, &[])
        .expect_err("settings are invalid")
        .to_string();
    assert!(err.contains(more[0]), "{err}");
    assert!(err.contains(more[1]), "{err}");
}

#[test]
fn error_names_variable_and_invalid_value() {
    let err = read_with(&[], &[("LYCHEEYARD_DRAIN_MS", "x")]).expect_err("settings are invalid");
    insta::assert_snapshot!(err, @"--drain-ms (or LYCHEEYARD_DRAIN_MS) is `x`, which is not valid: invalid digit found in string");
}

#[test]
fn key_in_place_of_a_digest_is_not_printed() {
    let err =
        read_with(&["--operator-key-digests", "secret"], &[]).expect_err("settings are invalid");
    insta::assert_snapshot!(err, @"--operator-key-digests (or LYCHEEYARD_OPERATOR_KEY_DIGESTS) is `(not shown)`, which is not valid: give SHA-256 digests of 64 hexadecimal digits");
}

#[test]
fn key_access_requires_operator_key() {
    let err = read_with(&[], &[]).expect_err("settings are invalid");
    insta::assert_snapshot!(err, @"--operator-key-digests (or LYCHEEYARD_OPERATOR_KEY_DIGESTS) is required with --access keys, or no operator could change anything; give the SHA-256 digest of a key");
    assert!(read_with(&["--access", "open"], &[]).is_ok());
    assert!(read_with(&["--operator-key-digests", DIGEST], &[]).is_ok());
}

#[test]
fn error_names_missing_setting() {
    let err = read_settings(&[], &BTreeMap::new()).expect_err("settings are invalid");
    insta::assert_snapshot!(err, @"--instance (or LYCHEEYARD_INSTANCE) is required");
}

#[rstest]
#[case(&["--no-such-flag"])]
#[case(&["extra"])]
#[case(&["--access", "open", "--drain-ms", "never"])]
fn exits_with_code_2_on_invalid_arguments(#[case] more: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_lycheeyard-entry"))
        .args(REQUIRED)
        .args(more)
        .output()
        .expect("daemon starts");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains(more[more.len() - 1].trim_start_matches('-')),
        "{text}"
    );
}

/// The rows of the page's table. Each has the flag with its placeholder, the variable, the default and the meaning.
fn page_rows() -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(path).expect("settings page is readable");
    let rows = page.lines().filter(|line| line.starts_with("| `--"));
    let cells = rows.map(|row| row.replace("\\|", "\u{1}"));
    cells
        .map(|row| {
            let cells = row.trim_matches('|').split('|');
            cells
                .map(|cell| {
                    cell.replace('\u{1}', "|")
                        .replace('`', "")
                        .trim()
                        .to_owned()
                })
                .collect()
        })
        .collect()
}

#[test]
fn settings_page_matches_help_text() {
    let help = read_settings(&["--help".to_owned()], &BTreeMap::new());
    let Ok(StartupAction::Print(help)) = help else {
        panic!("help is not printed: {help:?}");
    };
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    let rows = page_rows();
    assert_eq!(rows.len(), help.matches("(LYCHEEYARD_").count());
    for row in rows {
        let [flag, variable, default, meaning] = row.as_slice() else {
            panic!("row has {} cells instead of 4", row.len());
        };
        let expected = format!("{flag} {meaning} ({variable}; {default})");
        assert!(
            help.contains(&expected),
            "help text does not contain `{expected}`"
        );
    }
}

#[test]
fn error_names_address_in_use() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback port is free");
    let address = listener
        .local_addr()
        .expect("listener has an address")
        .to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_lycheeyard-entry"))
        .args(REQUIRED)
        .args(["--access", "open", "--listen", &address])
        .output()
        .expect("daemon starts");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected = format!("the instance cannot be started: cannot listen on {address}");
    assert!(text.contains(&expected), "{text}");
}
