use super::{
    Action, JobKey, Snapshot, StopReason,
    running::{Running, expected_rest},
};
use crate::{
    grid::{Block, Layout},
    guarantees::{Slice, find_block, pin_slices},
};
use lycheeyard_protocol::{JobState, Preemption, Shape, Timestamp};
use std::{collections::BTreeSet, time::Duration};

/// The part of the urgent limit that telling the workers and one planning round take.
const HANDOVER: Duration = Duration::from_secs(1);

/// The state of one planning round.
#[derive(Debug)]
pub(super) struct World<'a> {
    pub(super) snapshot: &'a Snapshot,
    pub(super) now: Timestamp,
    pub(super) layout: Layout<'a>,
    /// The accelerators of workers that may get tasks.
    pub(super) usable: Vec<u64>,
    /// What no job holds and nothing in this round has taken.
    pub(super) free: Vec<u64>,
    /// What belongs to some guarantee.
    pub(super) owned: Vec<u64>,
    /// What is lent only to work that stops within the urgent limit.
    pub(super) quick_only: Vec<u64>,
    pub(super) slices: Vec<Slice<'a>>,
    /// The waiting shapes that fit outside all guarantees once nothing runs there.
    pub(super) fit_unowned: BTreeSet<Shape>,
    pub(super) running: Vec<Running<'a>>,
    /// The running jobs that touch each worker.
    pub(super) on_worker: Vec<Vec<usize>>,
    /// The running jobs that this round stops.
    pub(super) stopped: Vec<bool>,
    /// Blocks that this round has given away, and until when their jobs are expected to hold them.
    pub(super) given: Vec<(Block, Timestamp)>,
    pub(super) actions: Vec<Action>,
}

impl<'a> World<'a> {
    pub(super) fn new(snapshot: &'a Snapshot, now: Timestamp) -> Self {
        let layout = Layout::new(&snapshot.data_centre);
        let usable = usable_masks(&layout, snapshot);
        let mut running: Vec<_> = snapshot
            .jobs
            .iter()
            .filter_map(|(key, record)| Running::new(snapshot, &layout, key, record, now))
            .collect();
        let mut free = usable.clone();
        let mut fixed = vec![0; layout.len()];
        let mut on_worker = vec![Vec::new(); layout.len()];
        for (index, row) in running.iter().enumerate() {
            row.block.remove_from(&mut free);
            row.block
                .parts()
                .for_each(|(worker, _)| on_worker[worker].push(index));
            let spec = &row.record.spec;
            if spec.guaranteed || spec.preemption == Preemption::Never {
                row.block.add_to(&mut fixed);
            }
        }
        let slices = pin_slices(&layout, snapshot, &usable, &fixed);
        for row in &mut running {
            row.counted = row.record.spec.guaranteed && is_counted(row, &slices);
        }
        let mut owned = vec![0; layout.len()];
        for slice in &slices {
            slice.block.add_to(&mut owned);
        }
        let quick_only = quick_only(&layout, &slices, snapshot);
        Self {
            snapshot,
            now,
            usable,
            free,
            fit_unowned: fit_unowned(&layout, &owned, snapshot),
            owned,
            quick_only,
            slices,
            on_worker,
            stopped: vec![false; running.len()],
            running,
            given: Vec::new(),
            actions: Vec::new(),
            layout,
        }
    }

    /// Starts a job on a block and takes its accelerators.
    pub(super) fn start(&mut self, job: &JobKey, block: &Block) {
        self.give(job, block);
        self.actions.push(Action::Start {
            job: job.clone(),
            placement: block.placement(&self.layout),
        });
    }

    /// Keeps a block for a waiting job.
    pub(super) fn give(&mut self, job: &JobKey, block: &Block) {
        block.remove_from(&mut self.free);
        let rest = expected_rest(self.snapshot, &self.snapshot.jobs[job]);
        self.given.push((block.clone(), self.now.after(rest)));
    }

    /// Stops a running job, unless this round has done so already.
    pub(super) fn stop(&mut self, index: usize, reason: StopReason, grace: Duration) {
        let row = &self.running[index];
        if self.stopped[index] || row.record.state != JobState::Running {
            return;
        }
        self.stopped[index] = true;
        self.actions.push(Action::Stop {
            job: row.key.clone(),
            reason,
            checkpoint: row.record.spec.preemption == Preemption::Checkpoint,
            checkpoint_until: self.now.after(grace),
        });
    }

    /// The time that a checkpoint may take when urgent work waits for it.
    pub(super) fn urgent_grace(&self) -> Duration {
        self.snapshot
            .checkpoint_grace()
            .min(urgent_stop(self.snapshot))
    }

    /// The indices of the running jobs that hold a part of a block.
    pub(super) fn holders(&self, block: &Block) -> Vec<usize> {
        let mut holders: Vec<usize> = block
            .parts()
            .filter(|(_, mask)| *mask != 0)
            .flat_map(|(worker, _)| self.on_worker[worker].iter().copied())
            .filter(|&index| self.running[index].block.overlaps(block))
            .collect();
        holders.sort_unstable();
        holders.dedup();
        holders
    }
}

/// The accelerators of the workers that may get tasks.
pub(crate) fn usable_masks(layout: &Layout<'_>, snapshot: &Snapshot) -> Vec<u64> {
    let mut usable = layout.full().to_vec();
    let barred = snapshot.unavailable.iter().chain(&snapshot.quarantined);
    for worker in barred.filter_map(|id| layout.number(id)) {
        usable[worker] = 0;
    }
    usable
}

/// Whether work that asks for a checkpoint stops within the urgent limit.
pub(super) fn checkpoints_are_quick(snapshot: &Snapshot) -> bool {
    snapshot.checkpoint_grace() <= urgent_stop(snapshot)
}

fn fit_unowned(layout: &Layout<'_>, owned: &[u64], snapshot: &Snapshot) -> BTreeSet<Shape> {
    let both = layout.full().iter().zip(owned);
    let unowned: Vec<u64> = both.map(|(full, owned)| full & !owned).collect();
    let jobs = snapshot.jobs.values();
    let waiting = jobs.filter(|job| job.state == JobState::Queued);
    let shapes: BTreeSet<Shape> = waiting.map(|job| job.spec.shape).collect();
    shapes
        .into_iter()
        .filter(|shape| find_block(layout, &unowned, *shape).is_some())
        .collect()
}

fn urgent_stop(snapshot: &Snapshot) -> Duration {
    let limit = Duration::from_millis(snapshot.data_centre.policy.urgent_limit_ms);
    limit.saturating_sub(HANDOVER)
}

fn is_counted(row: &Running<'_>, slices: &[Slice<'_>]) -> bool {
    slices.iter().any(|slice| {
        *slice.organisation == row.key.organisation
            && row
                .block
                .parts()
                .all(|(worker, mask)| mask & !slice.block.mask(worker) == 0)
    })
}

/// The first accelerators of each guarantee, up to the share that the operator sets aside for urgent work.
fn quick_only(layout: &Layout<'_>, slices: &[Slice<'_>], snapshot: &Snapshot) -> Vec<u64> {
    let share = u32::from(snapshot.data_centre.policy.urgent_reserve.0.min(100));
    let mut masks = vec![0; layout.len()];
    for slice in slices {
        let mut wanted = (slice.block.total() * share).div_ceil(100);
        for (worker, mut mask) in slice.block.parts() {
            while mask != 0 && wanted > 0 {
                let lowest = mask & mask.wrapping_neg();
                masks[worker] |= lowest;
                mask ^= lowest;
                wanted -= 1;
            }
        }
    }
    masks
}
