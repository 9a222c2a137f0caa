use lycheeyard_protocol::platform::KeyValue;

/// What became of a conditional write that was repeated until its outcome was known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolvedWrite {
    /// It took effect and made this version.
    Applied(u64),
    /// It took no effect and cannot do so later; the key is as given, or absent.
    Conflict(Option<KeyValue>),
    /// It may have taken effect before the present value replaced it; it cannot take effect later.
    Replaced(Option<KeyValue>),
    /// The deadline passed first; it may have taken effect or may yet do so.
    Unknown,
}
