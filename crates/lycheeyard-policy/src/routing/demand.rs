use std::time::Duration;

const PEAK_WINDOW: Duration = Duration::from_secs(2);

/// The peak of the requests in flight over the current and the previous time window.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    in_flight: u32,
    current: u32,
    previous: Option<u32>,
    window_end: Option<Duration>,
}

impl Demand {
    pub fn begin(&mut self) {
        self.in_flight += 1;
        self.current = self.current.max(self.in_flight);
    }

    pub fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub fn advance(&mut self, now: Duration) {
        match self.window_end {
            None => self.window_end = Some(now + PEAK_WINDOW),
            Some(end) if end <= now => {
                self.previous = Some(self.current);
                self.current = self.in_flight;
                self.window_end = Some(now + PEAK_WINDOW);
            }
            Some(_) => {}
        }
    }

    /// The recent peak; `u32::MAX` until a whole window has been observed.
    pub fn peak(&self) -> u32 {
        self.previous
            .map_or(u32::MAX, |previous| previous.max(self.current))
    }
}
