use serde::{Deserialize, Serialize};

/// A key with its value and version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// The store-wide version of the write that set this value.
    pub version: u64,
}

/// The precondition on a key for a write to take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// The key does not exist.
    Absent,
    /// The key has this version.
    Version(u64),
    /// No precondition.
    Any,
}

/// A conditional write; without a value it deletes the key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteRequest {
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the key.
    pub value: Option<String>,
    /// The precondition for the write to take effect.
    pub expect: Expectation,
    /// Milliseconds after which the store deletes the key; `None` if the key does not expire.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_in_ms: Option<u64>,
}

/// The store's answer to a write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteReply {
    /// The write took effect and the key now has this version.
    Applied(u64),
    /// The expectation did not hold; the key is as given, or absent.
    Conflict(Option<KeyValue>),
}

/// Reads the keys that start with a prefix, in order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeRequest {
    /// The prefix; a complete key selects that key and all longer keys that start with it.
    pub prefix: String,
    /// If set, reads only keys after this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<String>,
    /// The maximum number of entries to return.
    pub limit: usize,
}

/// The store's answer to a range read or a watch.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RangeReply {
    /// The entries in key order.
    pub entries: Vec<KeyValue>,
    /// The store's version when it answered.
    pub version: u64,
}

/// Waits until a key under a prefix is newer than a version, or until the wait times out.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WatchRequest {
    /// The prefix.
    pub prefix: String,
    /// The wait ends only for versions later than this one.
    pub after_version: u64,
    /// The longest wait in milliseconds.
    pub wait_ms: u64,
}
