use crate::router::RouterShared;
use lycheeyard_clients::Store;
use lycheeyard_peer::{LeavingRunner, SlotOffer, UsageReport};
use lycheeyard_policy::SlotLoan;
use lycheeyard_protocol::ServiceId;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const LOAN: Duration = Duration::from_millis(2400);
/// The lender waits longer than the borrower uses the slots.
const LENDER_MARGIN: Duration = Duration::from_millis(300);
const MAX_WANTED: u32 = 512;

/// Takes a peer's pulse in and answers with the own one and the slots that it can borrow.
pub(crate) fn answer_pulse<S: Store>(shared: &RouterShared<S>, pulse: UsageReport) -> UsageReport {
    let wanted = pulse.wanted.clone();
    observe(shared, pulse);
    let mut answer = own_pulse(shared, 1);
    answer.wanted.clear();
    answer.offers = offers(shared, &wanted);
    answer
}

/// What this instance tells its peers, of which `lenders` may lend it slots.
pub(super) fn own_pulse<S: Store>(shared: &RouterShared<S>, lenders: u32) -> UsageReport {
    let waiting = shared.slots.waiting().into_iter();
    UsageReport {
        instance: shared.settings.instance.clone(),
        data_centre: shared.settings.data_centre.clone(),
        usage: shared.usage.own(),
        leaving: leaving(shared),
        wanted: waiting
            .map(|(service, count)| (service, u32::try_from(count).unwrap_or(MAX_WANTED)))
            .map(|(service, count)| (service, count.min(MAX_WANTED).div_ceil(lenders.max(1))))
            .collect(),
        offers: Vec::new(),
    }
}

/// Takes a peer's pulse in.
pub(super) fn observe<S: Store>(shared: &RouterShared<S>, pulse: UsageReport) {
    shared.usage.observe(pulse.instance, pulse.usage);
    let news: Vec<LeavingRunner> = pulse
        .leaving
        .into_iter()
        .filter(|runner| !shared.membership.is_leaving(runner))
        .collect();
    if news.is_empty() {
        return;
    }
    for runner in news {
        shared.membership.mark_leaving(runner);
    }
    super::refresh(shared);
}

/// Takes the slots that a peer lends; `asked_at` is from before the question was sent.
pub(super) fn borrow<S: Store>(
    shared: &RouterShared<S>,
    offers: Vec<SlotOffer>,
    asked_at: Instant,
) {
    let mut loans: BTreeMap<ServiceId, Vec<SlotLoan>> = BTreeMap::new();
    for offer in offers {
        let until = asked_at + Duration::from_millis(offer.expires_in_ms);
        let loan = SlotLoan {
            runner: offer.runner,
            slots: offer.slots,
            until: shared.slots.clock(until),
        };
        loans.entry(offer.service).or_default().push(loan);
    }
    for (service, loans) in loans {
        shared.slots.borrow(&service, loans);
    }
}

fn offers<S: Store>(shared: &RouterShared<S>, wanted: &BTreeMap<ServiceId, u32>) -> Vec<SlotOffer> {
    let until = Instant::now() + LOAN + LENDER_MARGIN;
    let expires_in_ms = u64::try_from(LOAN.as_millis()).unwrap_or(u64::MAX);
    let mut offers = Vec::new();
    for (service, &count) in wanted {
        let loans = shared.slots.lend(service, count.min(MAX_WANTED), until);
        offers.extend(loans.into_iter().map(|loan| SlotOffer {
            service: service.clone(),
            runner: loan.runner,
            slots: loan.slots,
            expires_in_ms,
        }));
    }
    offers
}

/// The listed runners that are known to leave.
fn leaving<S: Store>(shared: &RouterShared<S>) -> Vec<LeavingRunner> {
    let listed = shared.table.listed();
    let lives = listed.iter().map(|runner| runner.life());
    lives
        .filter(|life| shared.membership.is_leaving(life))
        .collect()
}
