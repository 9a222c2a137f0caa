//! Access control by key, for operators, organisations and callers without a key: a call that
//! its key does not permit must be rejected.

use crate::{
    cluster::Cluster,
    redact::{redact, redact_workers},
    transcript,
};

const NORTH: Option<&str> = Some("north-key");
const SOUTH: Option<&str> = Some("south-key");
const SOUTH_NEXT: Option<&str> = Some("south-key-2");

/// Runs a session with the keys of an operator and two organisations, a wrong key and no key.
#[test]
fn restricts_calls_by_access_key() {
    let cluster = Cluster::start("kapeng");
    let mut session = Vec::new();
    let mut step = |key: Option<&str>, args: &[&str]| {
        let name = key.unwrap_or("no key");
        let text = transcript(args, &cluster.run_as(key, args));
        session.push(redact(&format!("# {name}\n{text}")));
    };
    for file in [
        "examples/kapeng/ticket.toml",
        "tests/cli/documents/ticket-20-keys.toml",
    ] {
        assert!(cluster.run(&["ticket", "apply", file]).status.success());
    }
    assert!(cluster.run(&["ticket", "wait", "20"]).status.success());
    let north = "tests/cli/documents/job-north.toml";
    let south = "tests/cli/documents/job-south.toml";
    let lookup = [
        "request",
        "lot-desk",
        "x",
        "--body",
        "lot 7",
        "--organisation",
    ];
    let as_north = [&lookup[..], &["north"]].concat();
    let as_keyless = [&lookup[..], &["keyless"]].concat();
    step(None, &["status"]);
    step(Some("wrong-key"), &["status"]);
    step(NORTH, &["status"]);
    step(NORTH, &["audit"]);
    step(NORTH, &["ticket", "list"]);
    step(
        NORTH,
        &["ticket", "apply", "tests/cli/documents/ticket-9-older.toml"],
    );
    step(None, &["job", "submit", north]);
    step(SOUTH, &["job", "submit", north]);
    step(NORTH, &["job", "submit", north]);
    cluster.wait_for(&["job", "show", "north", "build"], "running");
    step(SOUTH_NEXT, &["job", "submit", south]);
    cluster.wait_for(&["job", "show", "south", "build"], "running");
    step(SOUTH, &["job", "show", "north", "build"]);
    step(SOUTH, &["job", "cancel", "north", "build"]);
    step(SOUTH, &["job", "explain", "north", "build"]);
    step(SOUTH, &["job", "list"]);
    step(SOUTH, &["job", "list", "--organisation", "north"]);
    step(SOUTH, &["job", "list", "--organisation", "south"]);
    step(NORTH, &as_north);
    step(SOUTH, &as_north);
    step(None, &as_north);
    step(NORTH, &as_keyless);
    let listed = cluster.transcript(&["job", "list"]);
    session.push(format!("# operator\n{listed}"));
    insta::assert_snapshot!(redact_workers(&session.join("\n")));
}
