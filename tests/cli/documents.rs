//! Documents that cannot be parsed, have unknown fields or invalid values are rejected before any
//! call, with the path of the field.

use crate::{lycheeyard, transcript};
use std::fs;

const TICKETS: &[(&str, &str)] = &[
    ("not-toml.toml", "number = = 1"),
    ("unknown.toml", "number = 1\ncolour = \"red\""),
    ("missing.toml", "summary = \"no number\""),
    ("type.toml", "number = \"one\""),
    ("negative.toml", "number = -1"),
    ("empty.toml", "number = 1"),
    (
        "shape.toml",
        "number = 1\n[[organisations]]\nid = \"a\"\nweight = 1\nconcurrency = 1\nrate = 1\n\
         guarantees = [{ data_centre = \"dc1\", shape = \"1x8\" }, { data_centre = \"dc1\", shape = \"0x8\" }]",
    ),
    (
        "nested-unknown.toml",
        "number = 1\n[[organisations]]\nid = \"a\"\nweight = 1\nconcurrency = 1\nrate = 1\n\
         [[organisations.guarantees]]\ndata_centre = \"dc1\"\nshape = \"1x8\"\nsize = 3",
    ),
    (
        "name.toml",
        "number = 1\n[[services]]\nid = \"delay maps\"\nrunner_slots = 8\nrunner_connections = 64",
    ),
    (
        "limits.toml",
        "number = 1\n[[services]]\nid = \"delay-maps\"\nrunner_slots = 8\nrunner_connections = 4",
    ),
    (
        "worker.toml",
        "number = 1\n[[data_centres]]\nid = \"dc1\"\n[[data_centres.racks]]\nid = \"r1\"\n\
         workers = [{ id = \"w1\", accelerators = 70000, cores = 1, memory = 1 }]",
    ),
    ("removed.toml", "number = 1\nremoved = [\"planet/mars\"]"),
    ("unknown.json", "{\"number\": 1, \"colour\": \"red\"}"),
    (
        "shape.json",
        "{\"number\": 1, \"organisations\": [{\"id\": \"a\", \"weight\": 1, \"concurrency\": 1, \
         \"rate\": 1, \"guarantees\": [{\"data_centre\": \"dc1\", \"shape\": \"8\"}]}]}",
    ),
    (
        "trailing.json",
        "{\"number\": 1, \"removed\": [\"organisation/a\"]} {}",
    ),
    ("cut.json", "{\"number\": 1"),
];

const JOBS: &[(&str, &str)] = &[
    (
        "shape.toml",
        "organisation = \"a\"\njob = \"j\"\ndata_centre = \"dc1\"\nrun_time_ms = 1\nshape = \"2x0\"",
    ),
    (
        "priority.toml",
        "organisation = \"a\"\njob = \"j\"\ndata_centre = \"dc1\"\nrun_time_ms = 1\nshape = \"2x8\"\npriority = \"asap\"",
    ),
    (
        "time.toml",
        "organisation = \"a\"\njob = \"j\"\ndata_centre = \"dc1\"\nrun_time_ms = -5\nshape = \"2x8\"",
    ),
    ("organisation.toml", "job = \"j\""),
];

#[test]
fn rejects_invalid_ticket_with_field_path() {
    insta::assert_snapshot!(transcripts_of_rejections("ticket", "apply", TICKETS));
}

#[test]
fn rejects_invalid_job_with_field_path() {
    insta::assert_snapshot!(transcripts_of_rejections("job", "submit", JOBS));
}

/// Runs the command with each document and returns the transcripts. No document may be sent: a call
/// to the unreachable address would exit with code 5 instead of 2.
fn transcripts_of_rejections(noun: &str, verb: &str, documents: &[(&str, &str)]) -> String {
    let dir = std::env::temp_dir().join(format!("lycheeyard-{noun}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("temporary directory can be created");
    let mut all = Vec::new();
    for (name, text) in documents {
        fs::write(dir.join(name), text).expect("document can be written");
        let args = [noun, verb, name, "--entry", "127.0.0.1:1"];
        let mut command = lycheeyard(&args);
        let output = command.current_dir(&dir).output();
        let output = output.expect("lycheeyard runs");
        assert_eq!(output.status.code(), Some(2), "{name}: {output:?}");
        all.push(transcript(&args, &output));
    }
    fs::remove_dir_all(&dir).expect("temporary directory can be removed");
    all.join("\n")
}
