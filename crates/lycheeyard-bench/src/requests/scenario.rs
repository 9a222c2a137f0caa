use strum::{Display, EnumIter};

/// How instances share the slots of runners.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Sharing {
    /// Each instance picks two runners at random and sends to the one where it has less in flight.
    PowerOfTwo,
    /// Each instance counts only its own requests against all slots of a runner, and queues at the entry.
    OwnCountsOnly,
    /// Each instance has a fixed share of each runner's slots, and queues at the entry.
    StrictShares,
    /// As above, and idle slots are lent for a short time.
    LentShares,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub enum Scenario {
    /// All instances get the same part of the requests.
    Even,
    /// The first instance gets 30 % of the requests.
    Skewed,
    /// An instance dies halfway.
    InstanceDies,
    /// An instance is added halfway.
    InstanceAdded,
    /// One runner needs five times as long.
    SlowRunner,
}
