mod prefix;

pub(crate) use prefix::{PrefixEvent, follow_prefix, list_all};
