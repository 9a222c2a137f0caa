use super::Connection;
use std::{
    future::{Future, poll_fn},
    pin::pin,
    task::Poll,
};
use tokio::time::{Instant, sleep_until};

/// Serves a connection until it ends, has to be closed or its client takes too long.
pub(super) async fn serve_guarded(connection: Connection, serving: impl Future<Output = ()>) {
    let closing = connection.closing();
    let mut closed = pin!(closing.cancelled());
    let mut serving = pin!(serving);
    let mut timer = pin!(sleep_until(Instant::now()));
    poll_fn(|cx| {
        if closed.as_mut().poll(cx).is_ready() || serving.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let Some(deadline) = connection.deadline() else {
            return Poll::Pending;
        };
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        let timed_out = timer.as_mut().poll(cx);
        if timed_out.is_ready() {
            connection.record_timeout();
        }
        timed_out
    })
    .await;
}
