//! Crowds of clients that do not behave, against an entry process with little memory and few descriptors.
//!
//! They guard against a process that ends, hangs or uses up the memory or the descriptors of its machine because of what clients or
//! callers at the port for peers send, and against ordinary callers that get no answer beside such a crowd or after it. No test depends
//! on time. One test runs at a time.

use bytes::Bytes;
use lycheeyard_standin::{Crowd, EntryFleet, PostRequest, ProcessUsage};
use rstest::rstest;
use std::{
    fs::{self, Permissions},
    net::SocketAddr,
    os::unix::fs::PermissionsExt,
    path::PathBuf,
};
use tokio::sync::Mutex;

/// The memory of the machine.
const MEMORY_MB: usize = 80;
/// The memory for requests of all callers together.
const REQUEST_MEMORY_MB: usize = 16;
const DESCRIPTORS: usize = 1024;
/// The descriptors that the calls of the process itself can count on: a quarter.
const OWN_DESCRIPTORS: usize = 256;
/// The connections of a crowd that sends something on each.
const SENDERS: usize = 300;
/// The connections of a crowd that is larger than the number of descriptors.
const MANY: usize = 1500;
/// The largest body that the entry takes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// How often an ordinary caller tries.
const CALLER_ATTEMPTS: usize = 5;
const ENTRY: &str = "dc1-e1";
const SERVICE_PATH: &str = "/v1/services/delay-maps/lookup";

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Writes a program that starts the entry daemon with the limits of this test.
fn limited_program() -> PathBuf {
    let program = env!("CARGO_BIN_EXE_lycheeyard-entry");
    let script = format!(
        "#!/bin/sh\nulimit -n {DESCRIPTORS}\nLYCHEEYARD_REQUEST_MEMORY_MB={REQUEST_MEMORY_MB} exec {program} \"$@\"\n"
    );
    let path = std::env::temp_dir().join(format!("limited-entry-{}.sh", std::process::id()));
    fs::write(&path, script).expect("program is writable");
    fs::set_permissions(&path, Permissions::from_mode(0o700)).expect("program is ours");
    path
}

/// Plays a crowd at one port of an entry process, with an ordinary request beside it and one after it.
async fn play(
    address: fn(&EntryFleet) -> SocketAddr,
    count: usize,
    parts: impl Fn(usize) -> Vec<Bytes>,
) {
    let _alone = ONE_AT_A_TIME.lock().await;
    let program = limited_program();
    let fleet = EntryFleet::start(program.clone(), &[1]).await;
    let fleet = fleet.expect("fleet starts");
    let _ = fs::remove_file(program);
    let api = fleet.api(ENTRY).expect("entry process runs");
    let ticket = fleet.base_ticket(1).expect("base ticket is valid");
    api.put_ticket(&ticket).await.expect("entry answers");
    api.wait_until_ready().await.expect("entry becomes ready");
    let process = fleet.process_id(ENTRY).expect("entry process runs");
    let usage = ProcessUsage::of(process);
    let watch = usage.watch();
    let crowd = Crowd::open(address(&fleet), count, parts).await;
    usage.await_idle().await;
    let beside = is_served(&fleet).await;
    drop(crowd);
    let afterwards = is_served(&fleet).await;
    let memory = usage.peak_memory_mb().expect("the entry lives");
    let most = watch.most_descriptors();
    println!("peak {memory} MB, {most} descriptors");
    assert!(memory <= MEMORY_MB, "{memory} MB were resident at the peak");
    assert!(
        most <= DESCRIPTORS - OWN_DESCRIPTORS,
        "{most} descriptors were open"
    );
    assert!(beside, "no answer beside the crowd");
    assert!(afterwards, "no answer after the crowd");
}

/// Whether one of a few attempts of an ordinary request is served.
async fn is_served(fleet: &EntryFleet) -> bool {
    for _ in 0..CALLER_ATTEMPTS {
        let api = fleet.api(ENTRY).expect("entry process runs");
        let reply = api.lookup("org-a", &"b".repeat(2000), 100).await;
        if reply.is_ok_and(|reply| reply.status.is_success()) {
            return true;
        }
    }
    false
}

fn callers(fleet: &EntryFleet) -> SocketAddr {
    let api = fleet.api(ENTRY).expect("entry process runs");
    api.address()
}

fn peers(fleet: &EntryFleet) -> SocketAddr {
    fleet.peer_address(ENTRY).expect("entry process runs")
}

fn request() -> PostRequest {
    PostRequest::new("a", SERVICE_PATH)
        .with_header("Lycheeyard-Organisation", "org-a")
        .with_header("Lycheeyard-Deadline-Ms", "60000")
}

/// The length of a frame of peers in four bytes, and a part of the frame.
fn unfinished_frame(announced: u32, len: usize) -> Vec<Bytes> {
    let announced = Bytes::copy_from_slice(&announced.to_be_bytes());
    vec![announced, Bytes::from(vec![b' '; len])]
}

// Guards against bodies and heads that together use up the memory.
#[rstest]
#[case::bodies_without_their_last_byte(SENDERS, || request().with_body(&Bytes::from(vec![b'b'; MAX_BODY_BYTES]), 1))]
#[case::whole_bodies(SENDERS, || request().with_body(&Bytes::from(vec![b'b'; MAX_BODY_BYTES]), 0))]
#[case::bodies_in_small_chunks(SENDERS, || request().in_chunks(1, 8000))]
#[case::heads_without_an_end(MANY, || request().unfinished_head(60_000))]
#[case::connections_without_a_request(MANY, Vec::new)]
#[tokio::test]
async fn crowd_of_callers(#[case] count: usize, #[case] parts: fn() -> Vec<Bytes>) {
    let parts = parts();
    play(callers, count, |_| parts.clone()).await;
}

// Guards against frames and connections at the port for peers that use up the memory or the descriptors.
#[rstest]
#[case::frames_without_an_end(SENDERS, || unfinished_frame(15 << 20, 512 << 10))]
#[case::small_frames_without_an_end(MANY, || unfinished_frame(100 << 10, 90 << 10))]
#[case::connections_without_a_frame(MANY, Vec::new)]
#[tokio::test]
async fn crowd_at_the_port_for_peers(#[case] count: usize, #[case] parts: fn() -> Vec<Bytes>) {
    let parts = parts();
    play(peers, count, |_| parts.clone()).await;
}
