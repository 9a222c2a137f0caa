use strum::Display;

/// Why a term ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum TermEnd {
    /// The process stops.
    Stopped,
    /// The lease ended.
    LeaseEnded,
    /// Another instance schedules.
    Deposed,
}
