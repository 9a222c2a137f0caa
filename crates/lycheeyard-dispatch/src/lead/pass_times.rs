use crate::metrics::record_pass_part;
use std::{collections::BTreeMap, time::Duration};
use strum::{Display, IntoStaticStr};
use tokio::time::Instant;
use tracing::info;

/// A part of a pass of the scheduling loop.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum PassPart {
    /// Events are applied.
    Events,
    /// Everything that depends on time alone is handled.
    Tick,
    /// Waiting tasks are planned.
    Plan,
    /// Orders are handed to their senders.
    Send,
    /// The pollers of the workers get their directives.
    Pollers,
}

/// How long the parts of the loop's passes took since the last log line.
pub(super) struct PassTimes {
    since: Instant,
    passes: u32,
    events: usize,
    longest: Duration,
    parts: BTreeMap<PassPart, Duration>,
}

impl PassTimes {
    pub fn new() -> Self {
        Self {
            since: Instant::now(),
            passes: 0,
            events: 0,
            longest: Duration::ZERO,
            parts: BTreeMap::new(),
        }
    }

    /// Runs a part of a pass and adds the time that it takes.
    pub fn measure<T>(&mut self, part: PassPart, run: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let result = run();
        let elapsed = begun.elapsed();
        *self.parts.entry(part).or_default() += elapsed;
        self.longest = self.longest.max(elapsed);
        record_pass_part(part, elapsed);
        result
    }

    /// Counts a pass that applied `events` events.
    pub fn count_pass(&mut self, events: usize) {
        self.passes += 1;
        self.events += events;
    }

    /// Logs the times, and starts anew.
    pub fn log(&mut self) {
        let millis = |part| {
            self.parts
                .get(&part)
                .copied()
                .unwrap_or_default()
                .as_millis()
        };
        info!(
            span_ms = self.since.elapsed().as_millis(),
            passes = self.passes,
            events = self.events,
            longest_part_ms = self.longest.as_millis(),
            events_ms = millis(PassPart::Events),
            tick_ms = millis(PassPart::Tick),
            plan_ms = millis(PassPart::Plan),
            send_ms = millis(PassPart::Send),
            pollers_ms = millis(PassPart::Pollers),
            "lead: passes"
        );
        *self = Self::new();
    }
}
