//! The JSON on the page about the platform is what the types read and write.

use lycheeyard_protocol::platform::{
    ListReply, ListRequest, PrepareReply, RangeReply, RangeRequest, RenewRequest, StartRequest,
    StopRequest, TaskRequest, WatchRequest, WorkerReport, WriteReply, WriteRequest,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::BTreeSet, path::Path};

fn check<T: DeserializeOwned + Serialize>(text: &str) {
    let read: T = serde_json::from_str(text).unwrap_or_else(|err| panic!("{err}: {text}"));
    let written = serde_json::to_string(&read).expect("JSON");
    assert_eq!(written, text);
}

#[test]
fn blocks_are_read_and_written_back_alike() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/PLATFORM.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let mut seen = BTreeSet::new();
    for block in page.split("```json ").skip(1) {
        let (kind, rest) = block.split_once('\n').expect("a fenced block");
        let (text, _) = rest.split_once("\n```").expect("a closed block");
        match kind {
            "WriteRequest" => check::<WriteRequest>(text),
            "WriteReply" => check::<WriteReply>(text),
            "RangeRequest" => check::<RangeRequest>(text),
            "RangeReply" => check::<RangeReply>(text),
            "WatchRequest" => check::<WatchRequest>(text),
            "TaskRequest" => check::<TaskRequest>(text),
            "PrepareReply" => check::<PrepareReply>(text),
            "StartRequest" => check::<StartRequest>(text),
            "StopRequest" => check::<StopRequest>(text),
            "RenewRequest" => check::<RenewRequest>(text),
            "WorkerReport" => check::<WorkerReport>(text),
            "ListRequest" => check::<ListRequest>(text),
            "ListReply" => check::<ListReply>(text),
            other => panic!("the page names the unknown type {other}"),
        }
        seen.insert(kind);
    }
    assert_eq!(seen.len(), 13, "every message has an example: {seen:?}");
}
