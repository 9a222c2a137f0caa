use rand::{Rng, rngs::SmallRng};
use std::{fmt::Display, str::FromStr, time::Duration};

/// Draws from an exponential distribution with a mean in seconds.
pub(super) fn draw_exponential(rng: &mut SmallRng, mean_s: f64) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_s)
}

/// Parses a name that is known to be valid.
pub(super) fn parse_name<T: FromStr>(text: &str) -> T
where
    T::Err: Display,
{
    text.parse()
        .unwrap_or_else(|err| unreachable!("`{text}` is a valid name: {err}"))
}
