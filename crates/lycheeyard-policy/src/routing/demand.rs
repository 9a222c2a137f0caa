use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(2);

/// The recent peak of the requests in flight, over the present and the last time window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    in_flight: u32,
    present: u32,
    last: Option<u32>,
    window_ends: Option<Duration>,
}

impl Demand {
    pub fn begin(&mut self) {
        self.in_flight += 1;
        self.present = self.present.max(self.in_flight);
    }

    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub fn advance(&mut self, now: Duration) {
        match self.window_ends {
            None => self.window_ends = Some(now + WINDOW),
            Some(end) if end <= now => {
                self.last = Some(self.present);
                self.present = self.in_flight;
                self.window_ends = Some(now + WINDOW);
            }
            Some(_) => {}
        }
    }

    /// The peak; the highest number there is until a whole window was seen.
    pub fn peak(&self) -> u32 {
        self.last.map_or(u32::MAX, |last| last.max(self.present))
    }
}
