mod followed;
mod listing;
mod prefix;

pub(crate) use followed::Followed;
pub(crate) use listing::Listing;
pub(crate) use prefix::{PrefixEvent, follow_prefix};
