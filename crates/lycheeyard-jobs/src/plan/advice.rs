use super::{
    host::Host,
    hosts::Hosts,
    place::{slots_when_empty, spread_left},
    round::Round,
    unit::Unit,
};
use crate::{
    AdviceRequest, BootTime, WorkerKey,
    scheduler::{JobScheduler, Permit},
};
use lycheeyard_protocol::RackId;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The advisor is asked about so many workers at once, or as many as the step has tasks,
const BATCH: usize = 30;
/// but never about more.
const MAX_BATCH: usize = 100;
/// A step that was asked about less than this ago lets others go first.
const ASK_AGAIN_AFTER: Duration = Duration::from_secs(1);
/// A ticket for a claimed worker is renewed this long before it ends.
const RENEW_BEFORE: Duration = Duration::from_secs(1);

/// A worker that the advisor could be asked about.
struct WorkerOption {
    key: WorkerKey,
    permit: Option<Permit>,
    /// How many tasks it has room for now.
    slots: u32,
}

impl JobScheduler {
    /// Asks the advisor about workers for the most urgent unit that cannot start without.
    pub(super) fn request_advice(&mut self, units: &[Unit], round: &Round) {
        let now = round.now.boot;
        if !self.advice.may_ask(now) {
            return;
        }
        let mut later = None;
        for unit in units.iter().filter(|unit| unit.permits.is_advised()) {
            let Some(unit) = self.remaining(unit, round.now) else {
                continue;
            };
            let Some(request) = self.advice_request(&unit, &round.hosts, now) else {
                continue;
            };
            let asked_at = self.advice.asked_at(&unit.key);
            if asked_at.is_none_or(|asked| asked.after(ASK_AGAIN_AFTER).is_past(now)) {
                self.advice.ask(request, now);
                return;
            }
            later.get_or_insert(request);
        }
        if let Some(request) = later {
            self.advice.ask(request, now);
        }
    }

    fn advice_request(&self, unit: &Unit, hosts: &Hosts, now: BootTime) -> Option<AdviceRequest> {
        let job = &self.jobs.get(&unit.key.job)?.job;
        let policy = self.queue_policy(job).advice?;
        let workers = match self.reservations.get(&unit.key) {
            Some(claim) => {
                let claimed: BTreeSet<_> = claim.tasks.iter().map(|(_, id)| id).collect();
                let rows = hosts.rows().iter();
                let rows = rows.filter(|host| claimed.contains(host.id()));
                let renewed = now.after(RENEW_BEFORE);
                rows.map(|host| host.key.clone())
                    .filter(|key| self.advice.ticket(&unit.key, key, renewed).is_none())
                    .take(MAX_BATCH)
                    .collect()
            }
            None => workers_to_judge(unit, hosts),
        };
        (!workers.is_empty()).then(|| AdviceRequest {
            step: unit.key.clone(),
            workers,
            policy,
        })
    }
}

/// The workers about which the advisor must be asked before a unit can start; none while that would not help.
fn workers_to_judge(unit: &Unit, hosts: &Hosts) -> Vec<WorkerKey> {
    let options = options(unit, hosts);
    let wanted = unit.waiting.len();
    let batch = wanted.clamp(BATCH, MAX_BATCH);
    let mut slots = 0;
    let lapsed = with_room(&options, Some(Permit::Lapsed)).take_while(|option| {
        let is_needed = slots < wanted;
        slots += option.slots as usize;
        is_needed
    });
    let mut chosen: Vec<WorkerKey> = lapsed.map(|option| option.key.clone()).collect();
    if slots < wanted {
        let unknown = with_room(&options, None);
        chosen.extend(unknown.map(|option| option.key.clone()));
    }
    if chosen.is_empty() && slots_when_empty(hosts.rows(), unit) < wanted {
        let unknown = options.iter().filter(|option| option.permit.is_none());
        chosen.extend(unknown.map(|option| option.key.clone()));
    }
    chosen.truncate(batch);
    chosen
}

fn with_room(
    options: &[WorkerOption],
    permit: Option<Permit>,
) -> impl Iterator<Item = &WorkerOption> {
    options
        .iter()
        .filter(move |option| option.permit == permit && option.slots > 0)
}

/// The workers that could run a unit by themselves, the best ones first; those of a rack stand together.
fn options(unit: &Unit, hosts: &Hosts) -> Vec<WorkerOption> {
    let step = unit.step();
    let demand = step.reserved();
    let admitted = hosts
        .rows()
        .iter()
        .filter(|host| host.admits(step, &unit.service));
    let rows = admitted.map(|host| (host, spread_left(unit, host)));
    let mut rows: Vec<(&Host, u32)> = rows
        .filter(|(_, left)| *left > 0)
        .map(|(host, left)| (host, host.free().fit_count(&demand).min(left)))
        .collect();
    let mut rack_slots: BTreeMap<&RackId, u32> = BTreeMap::new();
    for (host, slots) in &rows {
        let sum = rack_slots.entry(&host.rack).or_default();
        *sum = sum.saturating_add(*slots);
    }
    rows.sort_by_key(|(host, slots)| {
        (
            !host.is_near(step),
            unit.avoid.contains(host.id()),
            host.slowness,
            Reverse(rack_slots[&host.rack]),
            &host.rack,
            Reverse(*slots),
        )
    });
    let option = |(host, slots): &(&Host, u32)| WorkerOption {
        key: host.key.clone(),
        permit: unit.permits.of(&host.key),
        slots: *slots,
    };
    rows.iter().map(option).collect()
}
