use strum::{Display, IntoStaticStr};

/// A part of a pass of the scheduling loop.
#[derive(Clone, Copy, Debug, Display, Eq, IntoStaticStr, Ord, PartialEq, PartialOrd)]
#[strum(serialize_all = "kebab-case")]
pub enum PassPart {
    /// Events are applied.
    Events,
    /// Everything that depends on time alone is handled.
    Tick,
    /// Waiting tasks are planned.
    Plan,
    /// The backlogs of the queues are computed.
    Admission,
    /// Orders are handed to their senders.
    Send,
    /// The pollers of the workers get their directives.
    Pollers,
}
