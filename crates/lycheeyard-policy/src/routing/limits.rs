/// The limits of an entry instance's queues.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Maximum number of requests that wait for a slot of one service.
    pub waiting: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        const WAITING: usize = 12_000;
        Self { waiting: WAITING }
    }
}

/// The limits of one organisation at this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allowance {
    /// Maximum number of requests in flight.
    pub concurrency: u32,
    /// Maximum number of requests per second.
    pub rate: u32,
    /// The weight relative to other organisations.
    pub weight: u32,
}

impl Allowance {
    /// Returns the part of a data centre's limit that an instance may use while its peers use `peers` of it.
    ///
    /// An instance always gets at least an equal share of the limit, so that a busy peer cannot starve it.
    #[must_use]
    pub fn local_limit(limit: u32, members: u32, peers: u32) -> u32 {
        limit
            .div_ceil(members.max(1))
            .max(limit.saturating_sub(peers))
    }
}
