use super::{host::Host, pending_step::PendingStep};
use lycheeyard_protocol::Timestamp;

/// Run times are only estimated, so that a step counts on this part of its slack at most.
const USABLE_SLACK: f64 = 0.3;

/// Which workers a step prefers by their speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum SpeedPreference {
    /// The fastest.
    Fast,
    /// The slowest on which its run time grows by no more than this factor, so that faster ones stay free for others.
    Slow { max_factor: f64 },
}

impl SpeedPreference {
    /// The preference of a step. Fast workers are preferred by steps that have priority 0, are guaranteed, long-running or best-effort,
    /// or have less slack than their run time. The slack of a late step ends when its result can no longer be of use.
    pub fn of(pending: &PendingStep, now: Timestamp) -> Self {
        Self::with_usable_slack(pending, USABLE_SLACK, now)
    }

    /// The preference of a step that takes room which is left free for urgent steps. It counts on all of its slack, so that these find the
    /// fast workers.
    pub fn beside_urgent_steps(pending: &PendingStep, now: Timestamp) -> Self {
        Self::with_usable_slack(pending, 1.0, now)
    }

    fn with_usable_slack(pending: &PendingStep, usable: f64, now: Timestamp) -> Self {
        let step = pending.step();
        if pending.priority == 0 || pending.is_guaranteed || step.long_running || step.best_effort {
            return Self::Fast;
        }
        let run_ms = pending.expected_ms.max(1);
        let start_by = if pending.is_late(now) {
            pending.useful_start_by
        } else {
            pending.start_by
        };
        let slack_ms = start_by.0.saturating_sub(now.0);
        if slack_ms < run_ms {
            return Self::Fast;
        }
        #[expect(
            clippy::cast_precision_loss,
            reason = "run times are far below 2^53 ms"
        )]
        let slack = slack_ms as f64 / run_ms as f64;
        Self::Slow {
            max_factor: 1.0 + usable * slack,
        }
    }

    /// The sort key of a host by its speed; the lowest is preferred. It is the same for hosts of similar speed.
    pub fn key(self, host: &Host, run_ms: u64) -> (bool, i32) {
        let slowness = host.speed.slowness(run_ms);
        match self {
            Self::Slow { max_factor } if host.speed.time_factor(run_ms) <= max_factor => {
                (false, -slowness)
            }
            Self::Slow { .. } => (true, slowness),
            Self::Fast => (false, slowness),
        }
    }
}
