use crate::router::RouterShared;
use lycheeyard_clients::Store;
use lycheeyard_peer::{RunnerIncarnation, SlotOffer, UsageReport};
use lycheeyard_policy::SlotLoan;
use lycheeyard_protocol::ServiceId;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

const LOAN_DURATION: Duration = Duration::from_millis(2400);
/// The time for which the lender withholds the slots after the borrower's use of them has ended.
const LENDER_MARGIN: Duration = Duration::from_millis(300);
const MAX_WANTED_SLOTS: u32 = 512;

/// Applies a peer's usage report and answers with this instance's own report and the slots that the peer can borrow.
pub(crate) fn answer_usage_report<S: Store>(
    shared: &RouterShared<S>,
    report: UsageReport,
) -> UsageReport {
    let wanted = report.wanted.clone();
    apply_report(shared, report);
    let mut answer = own_report(shared, 1);
    answer.wanted.clear();
    answer.offers = make_offers(shared, &wanted);
    answer
}

/// Returns the usage report of this instance for its peers.
///
/// The wanted slots are divided by `lender_count`, the number of peers that may lend them.
pub(super) fn own_report<S: Store>(shared: &RouterShared<S>, lender_count: u32) -> UsageReport {
    let waiting = shared.slots.waiting().into_iter();
    UsageReport {
        instance: shared.settings.instance.clone(),
        data_centre: shared.settings.data_centre.clone(),
        usage: shared.usage.own(),
        leaving: leaving_runners(shared),
        wanted: waiting
            .map(|(service, count)| (service, u32::try_from(count).unwrap_or(MAX_WANTED_SLOTS)))
            .map(|(service, count)| {
                (
                    service,
                    count.min(MAX_WANTED_SLOTS).div_ceil(lender_count.max(1)),
                )
            })
            .collect(),
        offers: Vec::new(),
    }
}

/// Records the usage and the leaving runners that a peer reports.
pub(super) fn apply_report<S: Store>(shared: &RouterShared<S>, report: UsageReport) {
    shared.usage.set_peer(report.instance, report.usage);
    let newly_leaving: Vec<RunnerIncarnation> = report
        .leaving
        .into_iter()
        .filter(|runner| !shared.membership.is_leaving(runner))
        .collect();
    if newly_leaving.is_empty() {
        return;
    }
    for runner in newly_leaving {
        shared.membership.mark_leaving(runner);
    }
    super::refresh(shared);
}

/// Adds the slots that a peer lends.
///
/// `sent_at` is a time before this instance sent its report, so that each loan ends here before it ends at the lender.
pub(super) fn borrow_slots<S: Store>(
    shared: &RouterShared<S>,
    offers: Vec<SlotOffer>,
    sent_at: Instant,
) {
    let mut loans: BTreeMap<ServiceId, Vec<SlotLoan>> = BTreeMap::new();
    for offer in offers {
        let until = sent_at + Duration::from_millis(offer.expires_in_ms);
        let loan = SlotLoan {
            runner: offer.runner,
            slots: offer.slots,
            until: shared.slots.since_origin(until),
        };
        loans.entry(offer.service).or_default().push(loan);
    }
    for (service, loans) in loans {
        shared.slots.borrow(&service, loans);
    }
}

fn make_offers<S: Store>(
    shared: &RouterShared<S>,
    wanted: &BTreeMap<ServiceId, u32>,
) -> Vec<SlotOffer> {
    let until = Instant::now() + LOAN_DURATION + LENDER_MARGIN;
    let expires_in_ms = u64::try_from(LOAN_DURATION.as_millis()).unwrap_or(u64::MAX);
    let mut offers = Vec::new();
    for (service, &count) in wanted {
        let loans = shared
            .slots
            .lend(service, count.min(MAX_WANTED_SLOTS), until);
        offers.extend(loans.into_iter().map(|loan| SlotOffer {
            service: service.clone(),
            runner: loan.runner,
            slots: loan.slots,
            expires_in_ms,
        }));
    }
    offers
}

/// Returns the listed runners that are leaving.
fn leaving_runners<S: Store>(shared: &RouterShared<S>) -> Vec<RunnerIncarnation> {
    let listed = shared.runner_table.listed();
    let incarnations = listed.iter().map(|runner| runner.incarnation_id());
    incarnations
        .filter(|incarnation| shared.membership.is_leaving(incarnation))
        .collect()
}
