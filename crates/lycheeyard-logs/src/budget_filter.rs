use crate::LogBudget;
use std::{sync::Arc, time::Instant};
use tracing::{Event, Level, Metadata};
use tracing_subscriber::layer::{Context, Filter};

/// Lets as many lines through as the budget has; warnings and errors come first.
#[derive(Clone, Debug)]
pub struct BudgetFilter<C> {
    budget: Arc<LogBudget>,
    now: C,
}

impl<C: Fn() -> Instant> BudgetFilter<C> {
    /// Makes a filter that asks `now` for the time.
    #[must_use]
    pub fn new(budget: Arc<LogBudget>, now: C) -> Self {
        Self { budget, now }
    }
}

impl<S, C: Fn() -> Instant> Filter<S> for BudgetFilter<C> {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // The more serious level is the lower one.
        let is_important = *event.metadata().level() <= Level::WARN;
        self.budget.admit(is_important, (self.now)())
    }
}
