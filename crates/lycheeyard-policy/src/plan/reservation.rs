use super::{JobKey, expected_free::ExpectedFree, order::WaitingJob, round_state::RoundState};
use crate::grid::Block;
use lycheeyard_protocol::Timestamp;

/// Accelerators that are reserved for a waiting job from a given time on.
#[derive(Clone, Debug)]
pub(super) struct Reservation<'a> {
    pub(super) job: &'a JobKey,
    pub(super) block: Block,
    pub(super) starts_at: Timestamp,
}

impl RoundState<'_> {
    /// Reserves the block that is expected to become free first, given the existing reservations.
    pub(super) fn reserve<'a>(
        &self,
        waiting: &WaitingJob<'a>,
        allowed: &[u64],
        existing: &[Reservation<'_>],
    ) -> Option<Reservation<'a>> {
        let mut expected = ExpectedFree::new(self, allowed);
        for reservation in existing {
            expected.occupy(
                &reservation.block,
                reservation.starts_at.after(waiting.remaining),
            );
        }
        let (block, starts_at) = expected.earliest(self, waiting.record.spec.shape)?;
        Some(Reservation {
            job: waiting.key,
            block,
            starts_at,
        })
    }
}
