use crate::{Runner, router::RouterShared};
use lycheeyard_clients::Store;
use lycheeyard_policy::{Allowance, RunnerSlots, rendezvous_share};
use lycheeyard_protocol::Service;
use lycheeyard_state::Configuration;
use std::sync::{Arc, atomic::Ordering};

/// Recomputes the slots, connections and limits of this instance.
pub(crate) fn refresh<S: Store>(shared: &RouterShared<S>) {
    let config = shared.config.borrow().clone();
    shared
        .applied_revision
        .store(config.revision.0, Ordering::Release);
    let members = member_names(shared);
    let members: Vec<&str> = members.iter().map(String::as_str).collect();
    set_allowances(shared, &config, &members);
    let is_evacuated = config.is_evacuated(&shared.settings.data_centre);
    shared.slots.set_evacuated(is_evacuated);
    // The runners of an evacuated data centre are closed, so that no peer borrows their slots.
    let live = if is_evacuated {
        Vec::new()
    } else {
        shared.runner_table.live()
    };
    for service in config.services.values() {
        let serving = live.iter().filter(|runner| runner.service == service.id);
        let runners = serving.map(|runner| {
            let slots = own_slots(shared, runner, service, &members);
            (runner.clone(), slots)
        });
        shared.slots.set_runners(&service.id, runners.collect());
    }
    for runner in shared.runner_table.listed() {
        runner.pool.close_stale();
    }
    shared
        .hop_pools
        .retain(&shared.runner_table.entry_instances());
}

/// Refreshes if a new configuration was received since the last refresh.
pub(crate) fn refresh_if_config_changed<S: Store>(shared: &RouterShared<S>) {
    let current_revision = shared.config.borrow().revision.0;
    if shared.applied_revision.load(Ordering::Acquire) != current_revision {
        refresh(shared);
    }
}

/// Returns the names of the live instances of this data centre, including this one.
fn member_names<S: Store>(shared: &RouterShared<S>) -> Vec<String> {
    let data_centre = &shared.settings.data_centre;
    let peers = shared.membership.live_peers();
    let mut names: Vec<String> = peers
        .into_iter()
        .filter(|view| view.report.data_centre == *data_centre)
        .map(|view| view.report.instance.into())
        .collect();
    names.push(shared.settings.instance.to_string());
    names
}

/// Computes this instance's share of a runner's slots and connections, and applies the limit on connections to the
/// runner's pool.
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
    let peer_usage = shared.usage.peer_total();
    let allowances = config.organisations.values().map(|organisation| {
        let used = peer_usage
            .get(&organisation.id)
            .copied()
            .unwrap_or_default();
        let allowance = Allowance {
            concurrency: Allowance::local_limit(organisation.concurrency.0, count, used.running),
            rate: Allowance::local_limit(organisation.rate.0, count, used.rate),
            weight: organisation.weight.0,
        };
        (organisation.id.clone(), allowance)
    });
    shared.slots.set_allowances(&allowances.collect());
}
