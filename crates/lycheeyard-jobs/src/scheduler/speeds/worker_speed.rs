use super::filter::passing_share;

/// Speeds are compared in steps of this size, as natural logarithms, so that similar workers count as equally fast.
const STEP: f64 = 0.15;
/// The largest factor by which the speed of a worker is taken to differ from the usual one.
const MAX_FACTOR: f64 = 10.0;
const MILLIS_PER_S: f64 = 1000.0;

/// The speed of a worker as decisions use it, in natural logarithms. Both parts are 0 where no difference from the usual
/// speed is established.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    /// The part that lasts.
    pub lasting: f64,
    /// The part that fades within seconds.
    pub passing: f64,
}

impl WorkerSpeed {
    /// The factor by which a run that takes `run_ms` at the usual speed takes longer here.
    #[must_use]
    pub fn time_factor(self, run_ms: u64) -> f64 {
        (-self.during(run_ms))
            .exp()
            .clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }

    /// How long a run takes here that takes `run_ms` at the usual speed, in milliseconds.
    #[must_use]
    pub fn run_ms(self, run_ms: u64) -> u64 {
        if self == Self::default() {
            return run_ms;
        }
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "run times are positive and far below 2^53 ms"
        )]
        let scaled = (run_ms as f64 * self.time_factor(run_ms)) as u64;
        scaled
    }

    /// How much slower than usual a run of `run_ms` is here, in steps of similar speeds; 0 is usual, less is faster.
    pub(crate) fn slowness(self, run_ms: u64) -> i32 {
        let steps = -self.during(run_ms) / STEP;
        #[expect(
            clippy::cast_possible_truncation,
            reason = "the value is clamped to 8 bits"
        )]
        let steps = steps.round().clamp(-100.0, 100.0) as i32;
        steps
    }

    /// The present speed in percent of the usual one.
    #[must_use]
    pub fn percent(self) -> u32 {
        let factor = (self.lasting + self.passing).exp();
        let percent = 100.0 * factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to 10..=1000"
        )]
        let percent = percent.round() as u32;
        percent
    }

    fn during(self, run_ms: u64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "run times are far below 2^53 ms"
        )]
        let seconds = run_ms as f64 / MILLIS_PER_S;
        self.lasting + self.passing * passing_share(seconds)
    }
}
