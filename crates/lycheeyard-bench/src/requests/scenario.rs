use strum::{Display, EnumIter};

/// How instances share the slots of runners.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Sharing {
    /// Each instance picks two runners at random and sends to the one with fewer requests of its own in flight.
    PowerOfTwo,
    /// Each instance counts only its own requests against all slots of a runner and queues at the entry.
    OwnCountsOnly,
    /// Each instance has a fixed share of the slots of each runner and queues at the entry.
    StrictShares,
    /// Like `StrictShares`, and instances lend idle slots to each other for a short time.
    LentShares,
}

/// The distribution of requests and the faults of a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// All instances receive the same share of the requests.
    Even,
    /// The first instance receives 30 % of the requests in addition to its even share of the rest.
    Skewed,
    /// An instance fails halfway through the run.
    #[strum(serialize = "instance-dies")]
    InstanceFails,
    /// An instance is added halfway through the run.
    InstanceAdded,
    /// One runner takes five times as long per request.
    SlowRunner,
}
