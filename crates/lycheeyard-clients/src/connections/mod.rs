//! The connections that a process accepts: how many there are, how much memory their requests hold and for how long a client may keep
//! the process waiting. All listeners of a process share one [`Connections`].

mod accept;
mod closed;
mod connection;
mod entry;
mod guard;
mod limits;
mod metrics;
mod shared;
mod stream;
mod table;

pub use connection::Connection;
pub use limits::{ClientLimits, ListenerKind, ListenerLimits, ProcessLimits};
pub use shared::{Connections, HoldError};
pub use stream::WatchedStream;
