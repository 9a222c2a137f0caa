use lycheeyard_protocol::platform::KeyValue;

/// The outcome of a conditional write that was retried until its outcome was known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ResolvedWrite {
    /// The write took effect and created this version.
    Applied(u64),
    /// The write took no effect and cannot do so later; contains the current entry, or none if the key is absent.
    Conflict(Option<KeyValue>),
    /// The write may have taken effect before another write replaced its value; it cannot take effect later.
    /// Contains the current entry, or none if the key is absent.
    Replaced(Option<KeyValue>),
    /// The deadline passed first; the write may have taken effect or may still do so.
    Unknown,
}
