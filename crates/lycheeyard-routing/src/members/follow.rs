use super::{
    pulse::{borrow, observe, own_pulse},
    refresh,
};
use crate::router::RouterShared;
use lycheeyard_clients::Store;
use lycheeyard_peer::{OrganisationUsage, exchange_usage};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::debug;

const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_PULSE: u32 = 10;
const PULSE_TIMEOUT: Duration = Duration::from_millis(400);

/// What decides on the shares of this instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Basis {
    revision: u64,
    updates: u64,
    members: usize,
    leaving: usize,
}

/// Keeps shares and limits up to date and exchanges pulses with the peers of this data centre.
pub(crate) async fn follow<S: Store>(shared: &Arc<RouterShared<S>>, stop: CancellationToken) {
    let mut known = Basis::default();
    let mut ticks = 0;
    loop {
        let basis = basis(shared);
        let pulse_due = ticks % TICKS_PER_PULSE == 0;
        if basis != known || pulse_due {
            refresh(shared);
        }
        if basis.revision > 0 && !shared.table.is_empty() {
            shared.informed.store(true, Ordering::Release);
        }
        shared.slots.refresh();
        if basis.leaving > known.leaving || pulse_due {
            measure_usage(shared);
            send_pulses(shared);
        }
        known = basis;
        tokio::select! {
            () = stop.cancelled() => return,
            () = shared.news.notified() => {}
            () = tokio::time::sleep(TICK) => ticks += 1,
        }
    }
}

fn basis<S: Store>(shared: &RouterShared<S>) -> Basis {
    Basis {
        revision: shared.config.borrow().revision.0,
        updates: shared.table.updates(),
        members: shared
            .membership
            .live_peer_count(&shared.settings.data_centre),
        leaving: shared.membership.leaving().len(),
    }
}

fn measure_usage<S: Store>(shared: &RouterShared<S>) {
    const PULSES_PER_SECOND: u32 = 1;
    let used = shared.slots.take_usage().into_iter();
    let usage = used.map(|(id, (running, accepted))| {
        let rate = accepted * PULSES_PER_SECOND;
        (id, OrganisationUsage { running, rate })
    });
    shared.usage.set_own(usage.collect());
}

fn send_pulses<S: Store>(shared: &Arc<RouterShared<S>>) {
    let addresses = peer_addresses(shared);
    let lenders = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
    for address in addresses {
        let shared = shared.clone();
        tokio::spawn(async move {
            let asked_at = Instant::now();
            let pulse = own_pulse(&shared, lenders);
            match exchange_usage(address, pulse, asked_at + PULSE_TIMEOUT).await {
                Ok(mut answer) => {
                    borrow(&shared, std::mem::take(&mut answer.offers), asked_at);
                    observe(&shared, answer);
                }
                Err(err) => debug!("routing: no pulse: {err}"),
            }
        });
    }
}

fn peer_addresses<S: Store>(shared: &RouterShared<S>) -> Vec<SocketAddr> {
    let entries = shared.table.entries().into_iter();
    let settings = &shared.settings;
    entries
        .filter(|entry| entry.data_centre == settings.data_centre)
        .filter(|entry| entry.instance != settings.instance)
        .filter_map(|entry| entry.peer_address)
        .collect()
}
