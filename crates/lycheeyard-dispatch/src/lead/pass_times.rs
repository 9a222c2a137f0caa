use crate::{clock::Clock, metrics::record_pass_part, pass_part::PassPart};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;
use tracing::{info, warn};

/// A pass that begins longer than this after the end of the last one is logged.
const MAX_GAP: Duration = Duration::from_secs(1);

/// How long the parts of the loop's passes took since the last log line.
pub(super) struct PassTimes<C> {
    clock: C,
    since: Instant,
    passes: u32,
    events: usize,
    longest: Duration,
    /// How long the parts of the current pass took so far.
    current_pass: Duration,
    began_at: Instant,
    /// When the last pass ended, and how long after its beginning; `None` before the end of the first one.
    last_pass: Option<(Instant, Duration)>,
    longest_gap: Duration,
    parts: BTreeMap<PassPart, Duration>,
}

impl<C: Clock> PassTimes<C> {
    /// Begins to add up times that are measured with `clock`.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            since: Instant::now(),
            passes: 0,
            events: 0,
            longest: Duration::ZERO,
            current_pass: Duration::ZERO,
            began_at: Instant::now(),
            last_pass: None,
            longest_gap: Duration::ZERO,
            parts: BTreeMap::new(),
        }
    }

    /// Notes that a pass begins, and logs it if the last one ended long ago.
    pub fn begin_pass(&mut self) {
        self.began_at = Instant::now();
        let Some((ended_at, last_pass)) = self.last_pass else {
            return;
        };
        let gap = self.began_at - ended_at;
        self.longest_gap = self.longest_gap.max(gap);
        if gap > MAX_GAP {
            warn!(
                gap_ms = whole_millis(gap),
                last_pass_ms = whole_millis(last_pass),
                "lead: a pass is late"
            );
        }
    }

    /// Runs a part of a pass and adds the time that it takes. Returns that time as well.
    pub fn measure<T>(&mut self, part: PassPart, run: impl FnOnce() -> T) -> (T, Duration) {
        let (result, elapsed) = self.clock.measure(part, run);
        *self.parts.entry(part).or_default() += elapsed;
        self.longest = self.longest.max(elapsed);
        self.current_pass += elapsed;
        record_pass_part(part, elapsed);
        (result, elapsed)
    }

    /// Counts a pass that ends and applied `events` events, and returns how long its parts took.
    pub fn count_pass(&mut self, events: usize) -> Duration {
        self.passes += 1;
        self.events += events;
        self.last_pass = Some((Instant::now(), self.began_at.elapsed()));
        std::mem::take(&mut self.current_pass)
    }

    /// Logs the times and the age of the oldest report that decisions rest on, and starts anew.
    pub fn log(&mut self, oldest_report: Option<Duration>) {
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
            longest_gap_ms = whole_millis(self.longest_gap),
            oldest_report_ms = oldest_report.map(whole_millis),
            events_ms = millis(PassPart::Events),
            tick_ms = millis(PassPart::Tick),
            plan_ms = millis(PassPart::Plan),
            admission_ms = millis(PassPart::Admission),
            send_ms = millis(PassPart::Send),
            pollers_ms = millis(PassPart::Pollers),
            "lead: passes"
        );
        *self = Self {
            current_pass: self.current_pass,
            began_at: self.began_at,
            last_pass: self.last_pass,
            ..Self::new(self.clock.clone())
        };
    }
}

/// A time in a form that log lines show as a number.
fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
