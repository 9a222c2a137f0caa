use super::{
    host::Host,
    hosts::Hosts,
    pending_step::PendingStep,
    place::{remaining_spread, slots_on_empty_hosts},
    reservation::Reservation,
    round::Round,
};
use crate::{
    AdviceRequest, WorkerKey,
    scheduler::{JobScheduler, Permit},
};
use lycheeyard_protocol::RackId;
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// The maximum number of workers in one advice request for a step with at most this many waiting tasks.
/// For a step with more waiting tasks the maximum is their number, up to `MAX_BATCH`.
const BASE_BATCH: usize = 30;
/// The maximum number of workers in any advice request.
const MAX_BATCH: usize = 100;
/// A step whose last request is more recent than this is asked about only if no other step needs advice.
const REQUEST_COOLDOWN: Duration = Duration::from_secs(1);
/// The ticket for a reserved worker is renewed this long before it expires.
const RENEWAL_LEAD: Duration = Duration::from_secs(1);

/// A worker that could be named in an advice request.
struct AdviceCandidate {
    key: WorkerKey,
    permit: Option<Permit>,
    /// The number of tasks that fit on the worker now.
    slots: u32,
}

impl JobScheduler {
    /// Requests advice for the most urgent step that cannot start without it; after a request that failed, for one whose requests have not
    /// failed, or not for longest. One request is in progress at a time.
    pub(super) fn request_advice(&mut self, pending_steps: &[PendingStep], round: &Round) {
        let now = round.now.boot;
        if !self.advice.may_request(now) {
            return;
        }
        let mut fallback = None;
        let advised = pending_steps.iter();
        let mut advised: Vec<&PendingStep> = advised
            .filter(|pending| pending.permits.is_advised())
            .collect();
        if self.advice.has_failed() {
            advised.sort_by_key(|pending| self.advice.failed_at(&pending.key));
        }
        for pending in advised {
            let Some(pending) = self.remaining(pending, round.now) else {
                continue;
            };
            let Some(request) = self.advice_request(&pending, round) else {
                continue;
            };
            let requested_at = self.advice.requested_at(&pending.key);
            if requested_at.is_none_or(|requested| requested.after(REQUEST_COOLDOWN).is_past(now)) {
                self.advice.request(request, now);
                return;
            }
            fallback.get_or_insert(request);
        }
        if let Some(request) = fallback {
            self.advice.request(request, now);
        }
    }

    fn advice_request(&self, pending: &PendingStep, round: &Round) -> Option<AdviceRequest> {
        let job = &self.jobs.get(&pending.key.job)?.job;
        let policy = self.queue_policy(job).advice?;
        let workers = match self.reservations.get(&pending.key) {
            Some(reservation) => self.reserved_needing_advice(pending, reservation, round),
            None => self.unreserved_needing_advice(pending, round),
        };
        (!workers.is_empty()).then(|| AdviceRequest {
            step: pending.key.clone(),
            workers,
            policy,
        })
    }

    /// Returns the reserved workers whose tickets expire soon.
    fn reserved_needing_advice(
        &self,
        pending: &PendingStep,
        reservation: &Reservation,
        round: &Round,
    ) -> Vec<WorkerKey> {
        let reserved: BTreeSet<_> = reservation.tasks.iter().map(|(_, id)| id).collect();
        let hosts = round.hosts.usable().iter();
        let hosts = hosts.filter(|host| reserved.contains(host.id()));
        let renew_until = round.now.boot.after(RENEWAL_LEAD);
        hosts
            .map(|host| host.key.clone())
            .filter(|key| self.advice.ticket(&pending.key, key, renew_until).is_none())
            .take(MAX_BATCH)
            .collect()
    }

    /// Returns the workers to name in the next advice request for a step without a reservation: those in quarantine once there are no
    /// others.
    fn unreserved_needing_advice(&self, pending: &PendingStep, round: &Round) -> Vec<WorkerKey> {
        let now = round.now.boot;
        let needs_tickets_first = self.advice.needs_tickets_first(&pending.key, now);
        let workers = workers_needing_advice(pending, &round.hosts, needs_tickets_first);
        if workers.is_empty() {
            self.quarantined_needing_advice(pending, round)
        } else {
            workers
        }
    }

    /// Returns the workers in quarantine to name in the next advice request for a step that may start there at a deadline; tickets for
    /// them are renewed shortly before it.
    fn quarantined_needing_advice(&self, pending: &PendingStep, round: &Round) -> Vec<WorkerKey> {
        let Some(deadline) = self.quarantine_deadline(pending, round) else {
            return Vec::new();
        };
        let renew_until = round.now.boot.after(RENEWAL_LEAD);
        let candidates = advice_candidates(pending, round.hosts.quarantined());
        let expired = with_free_slots(&candidates, Some(Permit::Expired))
            .filter(|_| deadline.is_past(renew_until));
        let needed = expired.chain(with_free_slots(&candidates, None));
        let needed = needed.map(|candidate| candidate.key.clone());
        needed.take(batch_size(pending)).collect()
    }
}

/// The maximum number of workers in one advice request for a step.
fn batch_size(pending: &PendingStep) -> usize {
    pending.tasks.len().clamp(BASE_BATCH, MAX_BATCH)
}

/// Returns the workers to name in the next advice request for a step; empty if advice on more workers would not let
/// the step start. If no room is held for the step until it has valid tickets, those for full workers are renewed as well.
fn workers_needing_advice(
    pending: &PendingStep,
    hosts: &Hosts,
    needs_tickets_first: bool,
) -> Vec<WorkerKey> {
    let candidates = advice_candidates(pending, hosts.usable());
    let wanted = pending.tasks.len();
    let mut slots = 0;
    let expired = with_free_slots(&candidates, Some(Permit::Expired)).take_while(|candidate| {
        let is_needed = slots < wanted;
        slots += candidate.slots as usize;
        is_needed
    });
    let mut chosen: Vec<WorkerKey> = expired.map(|candidate| candidate.key.clone()).collect();
    if slots < wanted {
        let unknown = with_free_slots(&candidates, None);
        chosen.extend(unknown.map(|candidate| candidate.key.clone()));
    }
    if chosen.is_empty() && slots_on_empty_hosts(hosts.usable(), pending) < wanted {
        let unknown = candidates
            .iter()
            .filter(|candidate| candidate.permit.is_none());
        chosen.extend(unknown.map(|candidate| candidate.key.clone()));
    }
    if chosen.is_empty() && needs_tickets_first {
        let expired = candidates
            .iter()
            .filter(|candidate| candidate.permit == Some(Permit::Expired));
        chosen.extend(expired.map(|candidate| candidate.key.clone()));
    }
    chosen.truncate(batch_size(pending));
    chosen
}

fn with_free_slots(
    candidates: &[AdviceCandidate],
    permit: Option<Permit>,
) -> impl Iterator<Item = &AdviceCandidate> {
    candidates
        .iter()
        .filter(move |candidate| candidate.permit == permit && candidate.slots > 0)
}

/// Returns those of some workers that could run tasks of a step if the advisor allowed it, in order of preference.
/// The workers of a rack are adjacent within their preference class.
fn advice_candidates(pending: &PendingStep, hosts: &[Host]) -> Vec<AdviceCandidate> {
    let step = pending.step();
    let demand = step.reserved();
    let admitted = hosts
        .iter()
        .filter(|host| host.admits(step, &pending.service));
    let with_spread = admitted.map(|host| (host, remaining_spread(pending, host)));
    let mut by_preference: Vec<(&Host, u32)> = with_spread
        .filter(|(_, left)| *left > 0)
        .map(|(host, left)| (host, host.free().fit_count(&demand).min(left)))
        .collect();
    let mut rack_slots: BTreeMap<&RackId, u32> = BTreeMap::new();
    for (host, slots) in &by_preference {
        let sum = rack_slots.entry(&host.rack).or_default();
        *sum = sum.saturating_add(*slots);
    }
    by_preference.sort_by_key(|(host, slots)| {
        (
            !host.is_local(step),
            pending.avoided_workers.contains(host.id()),
            host.speed.slowness(pending.expected_ms),
            Reverse(rack_slots[&host.rack]),
            &host.rack,
            Reverse(*slots),
        )
    });
    let candidate = |(host, slots): &(&Host, u32)| AdviceCandidate {
        key: host.key.clone(),
        permit: pending.permits.get(&host.key),
        slots: *slots,
    };
    by_preference.iter().map(candidate).collect()
}
