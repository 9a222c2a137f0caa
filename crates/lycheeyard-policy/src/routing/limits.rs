/// The bounds of an entry instance's queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// The most requests that wait for a slot of one service.
    pub waiting: usize,
}

impl Default for QueueLimits {
    fn default() -> Self {
        const WAITING: usize = 12_000;
        Self { waiting: WAITING }
    }
}

/// What one organisation may use at this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Allowance {
    /// Requests that may run at once.
    pub concurrency: u32,
    /// Requests a second.
    pub rate: u32,
    /// The share relative to other organisations.
    pub weight: u32,
}

impl Allowance {
    /// What is left of a data centre's limit for an instance when its peers use `peers` of it.
    ///
    /// An instance always has its equal part of the limit, so that a busy peer cannot starve it.
    #[must_use]
    pub fn local_limit(limit: u32, members: u32, peers: u32) -> u32 {
        limit
            .div_ceil(members.max(1))
            .max(limit.saturating_sub(peers))
    }
}
