//! Runners that leave while the platform's list lags.

use super::call::{address, send, start};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_runner_gets_no_new_work_though_the_list_lags() {
    let fleet = start(3).await;
    let leaving = fleet.standins.runners.values().next().expect("a runner");
    leaving.leave();
    let addresses: Vec<SocketAddr> = fleet
        .names()
        .iter()
        .map(|name| address(&fleet, name))
        .collect();
    let organisation = [("lycheeyard-organisation", "org-a")];
    let mut learned = false;
    // One instance alone learns it from an answer.
    for _ in 0..200 {
        send(addresses[0], &organisation, "x")
            .await
            .expect("an answer");
        learned |= leaving.counts().begun > 0;
        if learned {
            break;
        }
    }
    assert!(learned);
    sleep(Duration::from_secs(3)).await;
    let before = leaving.counts().begun;
    for address in addresses.iter().cycle().take(150) {
        send(*address, &organisation, "x").await.expect("an answer");
    }
    assert_eq!(leaving.counts().begun, before);
}
