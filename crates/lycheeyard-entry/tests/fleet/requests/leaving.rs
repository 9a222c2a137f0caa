//! Runners that are leaving while the platform's instance list still shows them as live.
//!
//! Guards against instances that keep sending requests to such a runner because only one of them received its state
//! in an answer.

use super::call::{send, start};
use crate::support::address;
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn leaving_runner_receives_no_requests_while_list_is_stale() {
    let fleet = start(3).await;
    let leaving = fleet
        .standins
        .runners
        .values()
        .next()
        .expect("fleet has a runner");
    leaving.leave();
    let addresses: Vec<SocketAddr> = fleet
        .names()
        .iter()
        .map(|name| address(&fleet, name))
        .collect();
    let organisation = [("lycheeyard-organisation", "org-a")];
    let mut observed = false;
    // Only one instance sends requests, so only that one receives the state in an answer of the runner.
    for _ in 0..200 {
        send(addresses[0], &organisation, "x")
            .await
            .expect("entry instance answers");
        observed |= leaving.counts().begun > 0;
        if observed {
            break;
        }
    }
    assert!(observed);
    sleep(Duration::from_secs(3)).await;
    let before = leaving.counts().begun;
    for address in addresses.iter().cycle().take(150) {
        send(*address, &organisation, "x")
            .await
            .expect("entry instance answers");
    }
    assert_eq!(leaving.counts().begun, before);
}
