//! Instances that answer queries for each other. Guards against callers without an answer while some instance could give one.

mod support;

use lycheeyard_dispatch::{
    PeerCalls, PeerDirectory, PeerRegistration, PeerReply, ask_peers, keep_registered,
};
use lycheeyard_protocol::InstanceId;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use support::FakeStore;
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

const INSTANCES: u16 = 38;
/// Each caller asks again after this time.
const RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Callers give up after this time.
const PATIENCE: Duration = Duration::from_secs(14);

/// Peers of which only those with low ports can use the store.
struct Peers {
    able: u16,
    calls: AtomicUsize,
}

impl Peers {
    fn new(able: u16) -> Self {
        Self {
            able,
            calls: AtomicUsize::new(0),
        }
    }
}

impl PeerCalls for Peers {
    type Query = ();
    type Reply = u16;

    async fn ask(&self, address: SocketAddr, (): &(), deadline: Instant) -> PeerReply<u16> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let port = address.port();
        if port <= self.able {
            return PeerReply::Answered(port);
        }
        if port.is_multiple_of(5) {
            tokio::time::sleep_until(deadline).await;
            return PeerReply::NoAnswer;
        }
        PeerReply::CannotAnswer
    }
}

fn directory() -> PeerDirectory {
    let directory = PeerDirectory::default();
    let peers = (1..=INSTANCES).map(|port| (instance(port), address(port)));
    directory.replace(peers.collect());
    directory
}

fn instance(number: u16) -> InstanceId {
    let id = format!("entry-{number}");
    id.parse().expect("instance id is valid")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Guards against queries that fail at every attempt while most instances cannot use the store.
#[tokio::test(start_paused = true)]
async fn queries_are_answered_while_most_instances_cannot_use_the_store() {
    let peers = Peers::new(4);
    for _ in 0..200 {
        let directory = directory();
        let give_up_at = Instant::now() + PATIENCE;
        while ask_peers(&peers, &directory, &(), Instant::now() + RETRY_INTERVAL * 4)
            .await
            .is_none()
        {
            assert!(Instant::now() < give_up_at, "a query got no answer");
            sleep(RETRY_INTERVAL).await;
        }
    }
}

/// Guards against calls between instances that multiply during an outage of the store for all of them.
#[tokio::test(start_paused = true)]
async fn outage_for_all_instances_does_not_multiply_calls() {
    let peers = Peers::new(0);
    let directory = directory();
    let begun_at = Instant::now();
    for _ in 0..1000 {
        let answer = ask_peers(&peers, &directory, &(), Instant::now() + RETRY_INTERVAL).await;
        assert_eq!(answer, None);
        sleep(Duration::from_millis(10)).await;
    }
    let rounds = usize::try_from(begun_at.elapsed().as_millis() / 300).expect("few rounds");
    assert!(peers.calls.load(Ordering::Relaxed) <= (rounds + 1) * 12);
}

/// Guards against calls between instances that multiply by the number of queries that arrive at the same time.
#[tokio::test(start_paused = true)]
async fn queries_that_arrive_together_search_a_few_at_a_time() {
    let peers = Arc::new(Peers::new(0));
    let directory = directory();
    let mut queries = JoinSet::new();
    for _ in 0..200 {
        let (peers, directory) = (peers.clone(), directory.clone());
        let deadline = Instant::now() + PATIENCE;
        queries.spawn(async move { ask_peers(&*peers, &directory, &(), deadline).await });
    }
    assert_eq!(queries.join_all().await, [None; 200]);
    // The two searches under way when the first one fails.
    assert!(peers.calls.load(Ordering::Relaxed) <= 2 * 12);
}

/// Guards against a query without time for an attempt that makes an instance forget the peer that answers.
#[tokio::test(start_paused = true)]
async fn query_without_time_tells_nothing_about_peers() {
    let peers = Peers::new(INSTANCES);
    let directory = directory();
    let soon = Instant::now() + Duration::from_millis(10);
    assert_eq!(ask_peers(&peers, &directory, &(), soon).await, None);
    let answer = ask_peers(&peers, &directory, &(), Instant::now() + PATIENCE).await;
    assert!(answer.is_some());
}

/// Guards against a search that begins anew with each query although a peer is known to answer.
#[tokio::test(start_paused = true)]
async fn peer_that_answered_is_asked_first() {
    let peers = Peers::new(1);
    let directory = directory();
    while ask_peers(&peers, &directory, &(), Instant::now() + PATIENCE)
        .await
        .is_none()
    {
        sleep(RETRY_INTERVAL).await;
    }
    peers.calls.store(0, Ordering::Relaxed);
    for _ in 0..100 {
        let answer = ask_peers(&peers, &directory, &(), Instant::now() + PATIENCE).await;
        assert_eq!(answer, Some(1));
    }
    assert_eq!(peers.calls.load(Ordering::Relaxed), 100);
}

async fn first_answer(directory: &PeerDirectory) -> Option<u16> {
    let deadline = Instant::now() + PATIENCE;
    ask_peers(&Peers::new(INSTANCES), directory, &(), deadline).await
}

/// Guards against instances that forget each other when they are needed, which is while the store cannot be read, and against
/// entries of instances that have stopped.
#[tokio::test(start_paused = true)]
async fn peers_are_known_while_the_store_cannot_be_read() {
    let store = FakeStore::default();
    let stops: BTreeMap<u16, CancellationToken> = (1..=2)
        .map(|number| (number, CancellationToken::new()))
        .collect();
    let directories: BTreeMap<u16, PeerDirectory> = stops
        .iter()
        .map(|(&number, stop)| {
            let directory = PeerDirectory::default();
            let registration = PeerRegistration {
                instance: instance(number),
                address: address(number),
            };
            let kept =
                keep_registered(store.clone(), registration, directory.clone(), stop.clone());
            tokio::spawn(kept);
            (number, directory)
        })
        .collect();
    sleep(Duration::from_secs(3)).await;
    assert_eq!(first_answer(&directories[&1]).await, Some(2));
    store.link.change(|link| link.store_refuses = true);
    sleep(Duration::from_secs(120)).await;
    assert_eq!(first_answer(&directories[&1]).await, Some(2));
    store.link.clear_faults();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(store.items("instances/").len(), 2);
    stops[&2].cancel();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(store.items("instances/").len(), 1);
    assert_eq!(first_answer(&directories[&1]).await, None);
}
