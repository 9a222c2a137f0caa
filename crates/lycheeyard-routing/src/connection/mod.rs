mod dial;
mod held;
mod pool;

pub(crate) use dial::DialError;
pub(crate) use held::Connection;
pub(crate) use pool::{ConnectionPool, Freshness};
