use super::{
    refresh,
    usage_report::{apply_report, borrow_slots, own_report},
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

const TICK_INTERVAL: Duration = Duration::from_millis(100);
const TICKS_PER_REPORT: u32 = 10;
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// The inputs that determine the shares of this instance; a change of any of them triggers a refresh.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct RefreshInputs {
    revision: u64,
    list_updates: u64,
    members: usize,
    leaving: usize,
}

/// Keeps shares and limits up to date and exchanges usage reports with the peers of this data centre until `stop` is
/// cancelled.
pub(crate) async fn run_update_loop<S: Store>(
    shared: &Arc<RouterShared<S>>,
    stop: CancellationToken,
) {
    let mut last = RefreshInputs::default();
    let mut ticks = 0;
    loop {
        let inputs = refresh_inputs(shared);
        let report_due = ticks % TICKS_PER_REPORT == 0;
        if inputs != last || report_due {
            refresh(shared);
        }
        if inputs.revision > 0 && !shared.runner_table.is_empty() {
            shared.is_initialised.store(true, Ordering::Release);
        }
        shared.slots.refresh();
        if inputs.leaving > last.leaving || report_due {
            measure_usage(shared);
            exchange_reports(shared);
        }
        last = inputs;
        tokio::select! {
            () = stop.cancelled() => return,
            () = shared.refresh_needed.notified() => {}
            () = tokio::time::sleep(TICK_INTERVAL) => ticks += 1,
        }
    }
}

fn refresh_inputs<S: Store>(shared: &RouterShared<S>) -> RefreshInputs {
    RefreshInputs {
        revision: shared.config.borrow().revision.0,
        list_updates: shared.runner_table.update_count(),
        members: shared
            .membership
            .live_peer_count(&shared.settings.data_centre),
        leaving: shared.membership.leaving().len(),
    }
}

fn measure_usage<S: Store>(shared: &RouterShared<S>) {
    const REPORTS_PER_SECOND: u32 = 1;
    let usage_by_organisation = shared.slots.take_usage().into_iter();
    let usage = usage_by_organisation.map(|(id, (running, accepted))| {
        let rate = accepted * REPORTS_PER_SECOND;
        (id, OrganisationUsage { running, rate })
    });
    shared.usage.set_own(usage.collect());
}

fn exchange_reports<S: Store>(shared: &Arc<RouterShared<S>>) {
    let addresses = peer_addresses(shared);
    let lender_count = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
    for address in addresses {
        let shared = shared.clone();
        tokio::spawn(async move {
            let sent_at = Instant::now();
            let report = own_report(&shared, lender_count);
            match exchange_usage(address, report, sent_at + REPORT_TIMEOUT).await {
                Ok(mut answer) => {
                    borrow_slots(&shared, std::mem::take(&mut answer.offers), sent_at);
                    apply_report(&shared, answer);
                }
                Err(err) => debug!("routing: usage exchange failed: {err}"),
            }
        });
    }
}

fn peer_addresses<S: Store>(shared: &RouterShared<S>) -> Vec<SocketAddr> {
    let entries = shared.runner_table.entry_instances().into_iter();
    let settings = &shared.settings;
    entries
        .filter(|entry| entry.data_centre == settings.data_centre)
        .filter(|entry| entry.instance != settings.instance)
        .filter_map(|entry| entry.peer_address)
        .collect()
}
