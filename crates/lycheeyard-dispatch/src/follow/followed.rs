use crate::ports::StoreRevision;
use std::time::Duration;

/// What a follower follows, and how it asks for it.
#[derive(Clone, Debug)]
pub(crate) struct Followed {
    /// The prefix of the keys whose changes are delivered.
    pub prefix: String,
    /// The prefixes that are listed when the store no longer has all changes.
    pub listed: Vec<String>,
    /// The revision as of which the caller has the keys; they are listed first if there is none.
    pub watch_after: Option<StoreRevision>,
    /// The time between two watches, so that frequent changes are delivered in groups.
    pub gap: Duration,
    /// How long a watch waits for a change.
    pub wait: Duration,
}
