use crate::LogRateLimiter;
use std::{sync::Arc, time::Instant};
use tracing::{Event, Level, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Drops lines above the rate limit. A part of the limit is reserved for warnings and errors.
#[derive(Clone, Debug)]
pub struct RateLimitFilter<C> {
    limiter: Arc<LogRateLimiter>,
    now: C,
}

impl<C: Fn() -> Instant> RateLimitFilter<C> {
    /// Creates a filter that calls `now` for the current time.
    #[must_use]
    pub fn new(limiter: Arc<LogRateLimiter>, now: C) -> Self {
        Self { limiter, now }
    }
}

impl<S, C: Fn() -> Instant> Filter<S> for RateLimitFilter<C> {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // `Level` orders more severe levels lower.
        let is_important = *event.metadata().level() <= Level::WARN;
        self.limiter.admit(is_important, (self.now)())
    }
}
