use rand::{Rng, rngs::SmallRng};
use std::{fmt::Display, str::FromStr, time::Duration};

/// Draws an exponentially distributed time; `mean` is in seconds.
pub(super) fn exponential(rng: &mut SmallRng, mean: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean)
}

/// Reads a name that is known to be valid.
pub(super) fn parsed<T: FromStr>(text: &str) -> T
where
    T::Err: Display,
{
    text.parse()
        .unwrap_or_else(|err| unreachable!("`{text}` is a valid name: {err}"))
}
