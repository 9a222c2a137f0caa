use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{fmt, time::Duration};

/// What happens to a call to a worker.
#[derive(Clone, Copy, Debug)]
pub enum CallFate {
    /// It is executed and answered.
    Usual,
    /// It is not executed, and there is no answer.
    Lost,
    /// It is executed at once, and the answer is lost.
    Unanswered,
    /// It is executed after this time, and there is no answer.
    Late(Duration),
    /// It is executed at once and again after this time, and there is no answer.
    Repeated(Duration),
}

impl CallFate {
    /// After which times an unanswered call is executed.
    pub fn delays(self) -> Vec<Duration> {
        match self {
            Self::Usual | Self::Lost => Vec::new(),
            Self::Unanswered => vec![Duration::ZERO],
            Self::Late(delay) => vec![delay],
            Self::Repeated(delay) => vec![Duration::ZERO, delay],
        }
    }
}

impl fmt::Display for CallFate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usual => write!(f, "as usual"),
            Self::Lost => write!(f, "lost"),
            Self::Unanswered => write!(f, "executed at once"),
            Self::Late(delay) => write!(f, "executed after {delay:?}"),
            Self::Repeated(delay) => write!(f, "executed at once and after {delay:?}"),
        }
    }
}

/// Faults that affect calls to workers at random.
#[derive(Clone, Debug)]
pub struct CallFaults {
    rng: SmallRng,
    /// The share of calls that are affected.
    pub share: f64,
    /// How much later a call is executed at most.
    pub max_delay: Duration,
    /// Whether start calls are affected too.
    pub affects_starts: bool,
}

impl CallFaults {
    pub fn new(seed: u64, max_delay: Duration, affects_starts: bool) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            share: 0.0,
            max_delay,
            affects_starts,
        }
    }

    /// Draws what happens to the next start call.
    pub fn draw_for_start(&mut self) -> CallFate {
        if self.affects_starts {
            self.draw()
        } else {
            CallFate::Usual
        }
    }

    /// Draws what happens to the next call.
    pub fn draw(&mut self) -> CallFate {
        if !self.rng.random_bool(self.share) {
            return CallFate::Usual;
        }
        let longest = u64::try_from(self.max_delay.as_millis()).expect("delay fits u64");
        let delay = Duration::from_millis(self.rng.random_range(50..=longest));
        match self.rng.random_range(0..6) {
            0 => CallFate::Lost,
            1 => CallFate::Unanswered,
            2..=4 => CallFate::Late(delay),
            _ => CallFate::Repeated(delay),
        }
    }
}
