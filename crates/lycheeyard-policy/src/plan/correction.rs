use serde::{Deserialize, Serialize};
use std::time::Duration;

const UNIT_PERMILLE: u64 = 1_000;
const MIN_PERMILLE: u64 = UNIT_PERMILLE / 20;
const MAX_PERMILLE: u64 = UNIT_PERMILLE * 20;

/// Correction of an organisation's declared run times, estimated from the jobs that ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunTimeCorrection {
    typical_permille: u64,
    late_permille: u64,
}

impl Default for RunTimeCorrection {
    fn default() -> Self {
        Self {
            typical_permille: UNIT_PERMILLE,
            late_permille: UNIT_PERMILLE * 2,
        }
    }
}

impl RunTimeCorrection {
    /// Returns the correction after one more job that ended successfully.
    ///
    /// Each value moves up or down by a fixed fraction, so that a single outlier cannot move it far.
    #[must_use]
    pub fn observe(self, declared: Duration, actual: Duration) -> Self {
        let ratio = ratio_permille(declared, actual);
        Self {
            typical_permille: adjust(self.typical_permille, ratio, 10, 10),
            late_permille: adjust(self.late_permille, ratio, 4, 40).max(UNIT_PERMILLE / 20),
        }
    }

    /// Returns the expected run time for a declared one.
    #[must_use]
    pub fn expected(self, declared: Duration) -> Duration {
        scale(declared, self.typical_permille)
    }

    /// Returns the run time that about nine in ten jobs do not exceed.
    #[must_use]
    pub fn late_estimate(self, declared: Duration) -> Duration {
        scale(declared, self.late_permille.max(self.typical_permille))
    }
}

fn ratio_permille(declared: Duration, actual: Duration) -> u64 {
    let declared = declared.as_millis().max(1);
    let ratio = actual.as_millis().saturating_mul(UNIT_PERMILLE.into()) / declared;
    u64::try_from(ratio)
        .unwrap_or(MAX_PERMILLE)
        .clamp(MIN_PERMILLE, MAX_PERMILLE)
}

fn adjust(value: u64, ratio: u64, up_divisor: u64, down_divisor: u64) -> u64 {
    let next = if ratio > value {
        value + value.div_ceil(up_divisor)
    } else {
        value - value / down_divisor
    };
    next.clamp(MIN_PERMILLE, MAX_PERMILLE)
}

fn scale(declared: Duration, permille: u64) -> Duration {
    let millis = u64::try_from(declared.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis(millis.saturating_mul(permille) / UNIT_PERMILLE)
}
