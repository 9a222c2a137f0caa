use super::{OrganisationQueue, ServiceLoad, Work, obtained_capacity::ObtainedCapacity};
use crate::Resources;
use lycheeyard_protocol::OrganisationId;
use std::collections::BTreeMap;

/// No wait is expected to be longer than this, in milliseconds.
const MAX_WAIT_MS: u64 = 3_600_000;

/// The work of an organisation at one priority.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    work: Work,
    weight: u32,
}

/// Returns how long work that is submitted now would wait in each queue for each organisation, in milliseconds.
///
/// The organisations of one priority are served side by side, each with a share by weight; what one does not need goes to the
/// others. Until the work of higher priorities is done, a priority gets what it got beside them so far.
pub(super) fn expected_waits(
    load: &ServiceLoad,
    capacity: &Resources,
    obtained: &ObtainedCapacity,
) -> BTreeMap<OrganisationQueue, u64> {
    let mut by_priority: BTreeMap<u32, BTreeMap<&OrganisationId, Part>> = BTreeMap::new();
    for (of, queue) in &load.queues {
        let parts = by_priority.entry(queue.priority).or_default();
        let part = parts.entry(&of.organisation).or_default();
        part.work += queue.work;
        part.weight = queue.weight.max(1);
    }
    let mut waits: BTreeMap<(u32, &OrganisationId), u64> = BTreeMap::new();
    let mut higher_done = 0;
    for (priority, parts) in by_priority {
        let beside = shared_times(&parts, &obtained.beside_higher(priority, capacity));
        let alone = shared_times(&parts, &obtained.alone(priority, capacity));
        let mut all_done = higher_done;
        for (organisation, alone) in alone {
            let beside = beside.get(organisation).copied().unwrap_or(MAX_WAIT_MS);
            let wait = two_part_time(beside, alone, higher_done);
            waits.insert((priority, organisation), wait);
            all_done = all_done.max(wait);
        }
        higher_done = all_done;
    }
    let of_queue = |(of, queue): (&OrganisationQueue, &super::QueueLoad)| {
        let wait = waits.get(&(queue.priority, &of.organisation));
        (of.clone(), wait.copied().unwrap_or(0))
    };
    load.queues.iter().map(of_queue).collect()
}

/// Returns how long work takes that would take `beside` until `change` and `alone` from then on, in milliseconds.
fn two_part_time(beside: u64, alone: u64, change: u64) -> u64 {
    if beside <= change {
        return beside;
    }
    let left = u128::from(alone) * u128::from(beside - change) / u128::from(beside);
    let left = u64::try_from(left).unwrap_or(MAX_WAIT_MS);
    change.saturating_add(left).min(MAX_WAIT_MS)
}

/// Returns when the work of each organisation is done if all share `capacity` by their weights, in milliseconds.
fn shared_times<'a>(
    parts: &BTreeMap<&'a OrganisationId, Part>,
    capacity: &Resources,
) -> BTreeMap<&'a OrganisationId, u64> {
    let mut total = Work::default();
    let mut weights = 0.0;
    let mut by_time = Vec::new();
    for (&organisation, part) in parts {
        total += part.work;
        weights += f64::from(part.weight);
        let alone = part.work.time_on(capacity).min(MAX_WAIT_MS);
        #[expect(clippy::cast_precision_loss, reason = "it is at most `MAX_WAIT_MS`")]
        let per_weight = alone as f64 / f64::from(part.weight);
        by_time.push((per_weight, organisation, f64::from(part.weight)));
    }
    by_time.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    // Organisations may need different resources, in which case the sum of their times is too long.
    let all_done = total.time_on(capacity);
    let mut elapsed = 0.0;
    let mut served = 0.0;
    let mut times = BTreeMap::new();
    for (per_weight, organisation, weight) in by_time {
        elapsed += (per_weight - served) * weights;
        served = per_weight;
        weights -= weight;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "times are positive, and bounded by `MAX_WAIT_MS` for each organisation"
        )]
        let done = elapsed.max(0.0) as u64;
        times.insert(organisation, done.min(all_done));
    }
    times
}
