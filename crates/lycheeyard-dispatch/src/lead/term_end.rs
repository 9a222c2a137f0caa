use strum::Display;

/// Why a term ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum TermEnd {
    /// The process is stopping.
    Stopped,
    /// A much larger instance is to schedule.
    HandedOver,
    /// The scheduling lease ended.
    LeaseEnded,
    /// Another instance holds a newer term.
    Deposed,
}
