//! The JSON examples on the page about the platform. The test guards against examples that differ from the form in
//! which the message types are read and written.

use lycheeyard_protocol::platform::{
    ListReply, ListRequest, PrepareReply, RangeReply, RangeRequest, RenewRequest, StartRequest,
    StopRequest, TaskRequest, WatchRequest, WorkerReport, WriteReply, WriteRequest,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{collections::BTreeSet, path::Path};

fn assert_round_trip<T: DeserializeOwned + Serialize>(text: &str) {
    let read: T = serde_json::from_str(text).unwrap_or_else(|err| panic!("{err}: {text}"));
    let written = serde_json::to_string(&read).expect("message serialises to JSON");
    assert_eq!(written, text);
}

#[test]
fn examples_round_trip_through_message_types() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/PLATFORM.md");
    let page = std::fs::read_to_string(path).expect("page is readable");
    let mut seen = BTreeSet::new();
    for block in page.split("```json ").skip(1) {
        let (kind, rest) = block.split_once('\n').expect("block has a first line");
        let (text, _) = rest.split_once("\n```").expect("block is closed");
        match kind {
            "WriteRequest" => assert_round_trip::<WriteRequest>(text),
            "WriteReply" => assert_round_trip::<WriteReply>(text),
            "RangeRequest" => assert_round_trip::<RangeRequest>(text),
            "RangeReply" => assert_round_trip::<RangeReply>(text),
            "WatchRequest" => assert_round_trip::<WatchRequest>(text),
            "TaskRequest" => assert_round_trip::<TaskRequest>(text),
            "PrepareReply" => assert_round_trip::<PrepareReply>(text),
            "StartRequest" => assert_round_trip::<StartRequest>(text),
            "StopRequest" => assert_round_trip::<StopRequest>(text),
            "RenewRequest" => assert_round_trip::<RenewRequest>(text),
            "WorkerReport" => assert_round_trip::<WorkerReport>(text),
            "ListRequest" => assert_round_trip::<ListRequest>(text),
            "ListReply" => assert_round_trip::<ListReply>(text),
            other => panic!("the page names the unknown type {other}"),
        }
        seen.insert(kind);
    }
    assert_eq!(seen.len(), 13, "every message has an example: {seen:?}");
}
