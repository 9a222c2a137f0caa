mod followed;
mod listing;
mod odd_entries;
mod prefix;

pub(crate) use followed::Followed;
pub(crate) use listing::Listing;
pub(crate) use odd_entries::OddEntries;
pub(crate) use prefix::{PrefixEvent, follow_prefix};
