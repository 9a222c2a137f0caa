use super::{
    Action, JobKey, Snapshot, StopReason,
    running::{RunningJob, expected_remaining},
};
use crate::{
    grid::{Block, Layout},
    guarantees::{Slice, assign_slices, find_block},
};
use lycheeyard_protocol::{JobState, Preemption, Shape, Timestamp};
use std::{collections::BTreeSet, time::Duration};

/// Part of the urgent limit that is spent on sending the stops to the workers and on one planning round.
const STOP_OVERHEAD: Duration = Duration::from_secs(1);

/// The state of one planning round.
#[derive(Debug)]
pub(super) struct RoundState<'a> {
    pub(super) snapshot: &'a Snapshot,
    pub(super) now: Timestamp,
    pub(super) layout: Layout<'a>,
    /// The accelerators of workers that may get tasks.
    pub(super) usable: Vec<u64>,
    /// The usable accelerators that no job holds and this round has not allocated.
    pub(super) free: Vec<u64>,
    /// The accelerators that belong to some guarantee.
    pub(super) guaranteed_masks: Vec<u64>,
    /// The accelerators that are lent only to work that stops within the urgent limit.
    pub(super) urgent_reserve: Vec<u64>,
    pub(super) slices: Vec<Slice<'a>>,
    /// The shapes of waiting jobs that fit outside all guarantees once nothing runs there.
    pub(super) shapes_outside_guarantees: BTreeSet<Shape>,
    pub(super) running: Vec<RunningJob<'a>>,
    /// The indices of the running jobs on each worker.
    pub(super) jobs_on_worker: Vec<Vec<usize>>,
    /// Whether this round stops each running job.
    pub(super) stopped: Vec<bool>,
    /// The blocks that this round has allocated, and until when their jobs are expected to hold them.
    pub(super) allocated: Vec<(Block, Timestamp)>,
    pub(super) actions: Vec<Action>,
}

impl<'a> RoundState<'a> {
    pub(super) fn new(snapshot: &'a Snapshot, now: Timestamp) -> Self {
        let layout = Layout::new(&snapshot.data_centre);
        let usable = usable_masks(&layout, snapshot);
        let mut running: Vec<_> = snapshot
            .jobs
            .iter()
            .filter_map(|(key, record)| RunningJob::new(snapshot, &layout, key, record, now))
            .collect();
        let mut free = usable.clone();
        let mut fixed = vec![0; layout.len()];
        let mut jobs_on_worker = vec![Vec::new(); layout.len()];
        for (index, job) in running.iter().enumerate() {
            job.block.remove_from(&mut free);
            job.block
                .worker_masks()
                .for_each(|(worker, _)| jobs_on_worker[worker].push(index));
            let spec = &job.record.spec;
            if spec.guaranteed || spec.preemption == Preemption::Never {
                job.block.add_to(&mut fixed);
            }
        }
        let slices = assign_slices(&layout, snapshot, &usable, &fixed);
        for job in &mut running {
            job.is_within_guarantee =
                job.record.spec.guaranteed && is_within_guarantee(job, &slices);
        }
        let mut guaranteed_masks = vec![0; layout.len()];
        for slice in &slices {
            slice.block.add_to(&mut guaranteed_masks);
        }
        let urgent_reserve = urgent_reserve_masks(&layout, &slices, snapshot);
        Self {
            snapshot,
            now,
            usable,
            free,
            shapes_outside_guarantees: shapes_outside_guarantees(
                &layout,
                &guaranteed_masks,
                snapshot,
            ),
            guaranteed_masks,
            urgent_reserve,
            slices,
            jobs_on_worker,
            stopped: vec![false; running.len()],
            running,
            allocated: Vec::new(),
            actions: Vec::new(),
            layout,
        }
    }

    /// Starts a job on a block and allocates the block to it.
    pub(super) fn start(&mut self, job: &JobKey, block: &Block) {
        self.allocate(job, block);
        self.actions.push(Action::Start {
            job: job.clone(),
            placement: block.placement(&self.layout),
        });
    }

    /// Allocates a block to a waiting job, so that no other job of this round takes it.
    pub(super) fn allocate(&mut self, job: &JobKey, block: &Block) {
        block.remove_from(&mut self.free);
        let remaining = expected_remaining(self.snapshot, &self.snapshot.jobs[job]);
        self.allocated
            .push((block.clone(), self.now.after(remaining)));
    }

    /// Stops a running job, unless this round has done so already.
    pub(super) fn stop(&mut self, index: usize, reason: StopReason, grace: Duration) {
        let job = &self.running[index];
        if self.stopped[index] || job.record.state != JobState::Running {
            return;
        }
        self.stopped[index] = true;
        self.actions.push(Action::Stop {
            job: job.key.clone(),
            reason,
            checkpoint: job.record.spec.preemption == Preemption::Checkpoint,
            checkpoint_until: self.now.after(grace),
        });
    }

    /// The grace period of a checkpoint when urgent work waits for the accelerators.
    pub(super) fn urgent_grace(&self) -> Duration {
        self.snapshot
            .checkpoint_grace()
            .min(urgent_stop_limit(self.snapshot))
    }

    /// Returns the indices of the running jobs that hold a part of a block.
    pub(super) fn holders(&self, block: &Block) -> Vec<usize> {
        let mut holders: Vec<usize> = block
            .worker_masks()
            .filter(|(_, mask)| *mask != 0)
            .flat_map(|(worker, _)| self.jobs_on_worker[worker].iter().copied())
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
    let excluded = snapshot.unavailable.iter().chain(&snapshot.quarantined);
    for worker in excluded.filter_map(|id| layout.number(id)) {
        usable[worker] = 0;
    }
    usable
}

/// Whether a job that is asked for a checkpoint stops within the urgent limit.
pub(super) fn checkpoints_fit_urgent_limit(snapshot: &Snapshot) -> bool {
    snapshot.checkpoint_grace() <= urgent_stop_limit(snapshot)
}

fn shapes_outside_guarantees(
    layout: &Layout<'_>,
    guaranteed_masks: &[u64],
    snapshot: &Snapshot,
) -> BTreeSet<Shape> {
    let both = layout.full().iter().zip(guaranteed_masks);
    let outside_guarantees: Vec<u64> = both.map(|(full, guaranteed)| full & !guaranteed).collect();
    let jobs = snapshot.jobs.values();
    let waiting = jobs.filter(|job| job.state == JobState::Queued);
    let shapes: BTreeSet<Shape> = waiting.map(|job| job.spec.shape).collect();
    shapes
        .into_iter()
        .filter(|shape| find_block(layout, &outside_guarantees, *shape).is_some())
        .collect()
}

fn urgent_stop_limit(snapshot: &Snapshot) -> Duration {
    let limit = Duration::from_millis(snapshot.data_centre.policy.urgent_limit_ms);
    limit.saturating_sub(STOP_OVERHEAD)
}

fn is_within_guarantee(job: &RunningJob<'_>, slices: &[Slice<'_>]) -> bool {
    slices.iter().any(|slice| {
        *slice.organisation == job.key.organisation
            && job
                .block
                .worker_masks()
                .all(|(worker, mask)| mask & !slice.block.mask(worker) == 0)
    })
}

/// The first accelerators of each guarantee, up to the share that the operator reserves for urgent work.
fn urgent_reserve_masks(
    layout: &Layout<'_>,
    slices: &[Slice<'_>],
    snapshot: &Snapshot,
) -> Vec<u64> {
    let share = u32::from(snapshot.data_centre.policy.urgent_reserve.0.min(100));
    let mut masks = vec![0; layout.len()];
    for slice in slices {
        let mut wanted = (slice.block.total() * share).div_ceil(100);
        for (worker, mut mask) in slice.block.worker_masks() {
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
