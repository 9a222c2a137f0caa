use crate::{Runner, router::RouterShared};
use lycheeyard_clients::Store;
use lycheeyard_policy::{Allowance, RunnerSlots, rendezvous_share};
use lycheeyard_protocol::Service;
use lycheeyard_state::Configuration;
use std::sync::{Arc, atomic::Ordering};

/// Computes the slots, connections and limits of this instance anew.
pub(crate) fn refresh<S: Store>(shared: &RouterShared<S>) {
    let config = shared.config.borrow().clone();
    shared.applied.store(config.revision.0, Ordering::Release);
    let members = members(shared);
    let members: Vec<&str> = members.iter().map(String::as_str).collect();
    set_allowances(shared, &config, &members);
    let live = shared.table.live();
    for service in config.services.values() {
        let of_service = live.iter().filter(|runner| runner.service == service.id);
        let runners = of_service.map(|runner| {
            let slots = own_slots(shared, runner, service, &members);
            (runner.clone(), slots)
        });
        shared.slots.set_runners(&service.id, runners.collect());
    }
    for runner in shared.table.listed() {
        runner.pool.close_stale();
    }
    shared.hops.retain(&shared.table.entries());
}

/// Follows a configuration that has come into force since the last refresh.
pub(crate) fn catch_up<S: Store>(shared: &RouterShared<S>) {
    let present = shared.config.borrow().revision.0;
    if shared.applied.load(Ordering::Acquire) != present {
        refresh(shared);
    }
}

/// The names of the live instances of this data centre, this one included.
fn members<S: Store>(shared: &RouterShared<S>) -> Vec<String> {
    let here = &shared.settings.data_centre;
    let peers = shared.membership.live_peers();
    let mut names: Vec<String> = peers
        .into_iter()
        .filter(|view| view.report.data_centre == *here)
        .map(|view| view.report.instance.into())
        .collect();
    names.push(shared.settings.instance.to_string());
    names
}

fn own_slots<S: Store>(
    shared: &RouterShared<S>,
    runner: &Arc<Runner>,
    service: &Service,
    members: &[&str],
) -> RunnerSlots {
    let own = shared.settings.instance.as_str();
    let share = |total| rendezvous_share(runner.id.as_str(), members, own, total);
    let connections = share(service.runner_connections.0);
    runner.pool.set_limit(connections as usize);
    RunnerSlots {
        id: runner.id.clone(),
        incarnation: runner.incarnation,
        share: share(service.runner_slots.0),
        max_in_flight: connections.min(service.runner_slots.0),
    }
}

fn set_allowances<S: Store>(shared: &RouterShared<S>, config: &Configuration, members: &[&str]) {
    let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
    let peers = shared.usage.peers();
    let allowances = config.organisations.values().map(|organisation| {
        let used = peers.get(&organisation.id).copied().unwrap_or_default();
        let allowance = Allowance {
            concurrency: Allowance::local_limit(organisation.concurrency.0, count, used.running),
            rate: Allowance::local_limit(organisation.rate.0, count, used.rate),
            weight: organisation.weight.0,
        };
        (organisation.id.clone(), allowance)
    });
    shared.slots.set_allowances(&allowances.collect());
}
