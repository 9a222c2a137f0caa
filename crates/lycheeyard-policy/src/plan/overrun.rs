use super::{StopReason, order::WaitingJob, reservation::Reservation, round_state::RoundState};
use crate::grid::Windows;

impl RoundState<'_> {
    /// Stops jobs that have exceeded even the late estimate, if nothing else keeps a waiting job from starting.
    ///
    /// Only jobs that started after the waiting job was submitted are stopped. Returns whether stopping them is enough.
    pub(super) fn stop_overruns(&mut self, waiting: &WaitingJob<'_>, allowed: &[u64]) -> bool {
        let shape = waiting.record.spec.shape;
        let mut available: Vec<u64> = self.free.iter().zip(allowed).map(|(f, a)| f & a).collect();
        for job in &self.running {
            let backfilled = job.record.started_at > Some(waiting.record.submitted_at);
            if job.has_overrun && backfilled && job.is_preemptible() && !job.record.spec.guaranteed
            {
                for (worker, mask) in job.block.worker_masks() {
                    available[worker] |= mask & self.usable[worker] & allowed[worker];
                }
            }
        }
        let Some(block) = self.best_block(shape, &available) else {
            return false;
        };
        let grace = self.snapshot.checkpoint_grace();
        for index in self.holders(&block) {
            let reserved_for = waiting.key.clone();
            self.stop(index, StopReason::Overrun { reserved_for }, grace);
        }
        true
    }

    /// Whether the shape does not fit even into an empty data centre.
    pub(super) fn never_fits(&self, shape: lycheeyard_protocol::Shape) -> bool {
        let windows = Windows::new(&self.layout, shape.workers());
        let wanted = u32::from(shape.accelerators());
        !windows.iter().any(|window| {
            let mut masks = self.layout.full()[window].iter();
            masks.all(|mask| mask.count_ones() >= wanted)
        })
    }

    /// Stops overrunning jobs for the first reservation whose job can then start.
    pub(super) fn clear_overruns(
        &mut self,
        queue: &[WaitingJob<'_>],
        reservations: &[Reservation<'_>],
    ) {
        for reservation in reservations {
            let waiting = queue.iter().find(|waiting| waiting.key == reservation.job);
            let Some(waiting) = waiting else { continue };
            let allowed = self.accessible(self.access(waiting));
            if self.stop_overruns(waiting, &allowed) {
                return;
            }
        }
    }
}
