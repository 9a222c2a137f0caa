mod dial;
mod http1;
mod pool;

pub(crate) use dial::DialError;
pub(crate) use http1::Connection;
pub(crate) use pool::{ConnectionPool, Freshness};
