/// Implements the arithmetic of points in time for a newtype of milliseconds.
macro_rules! instant {
    ($name:ident) => {
        impl $name {
            /// The instant `delay` after this one.
            #[must_use]
            pub fn after(self, delay: std::time::Duration) -> Self {
                let millis = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
                Self(self.0.saturating_add(millis))
            }

            /// The time from `earlier` to this instant, or zero when `earlier` is later.
            #[must_use]
            pub fn since(self, earlier: Self) -> std::time::Duration {
                std::time::Duration::from_millis(self.0.saturating_sub(earlier.0))
            }

            /// Whether a deadline at this instant has passed at `now`.
            #[must_use]
            pub fn is_past(self, now: Self) -> bool {
                self <= now
            }
        }
    };
}

pub(crate) use instant;
