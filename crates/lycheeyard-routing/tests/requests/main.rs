//! The request path over scripted runners.

mod claims;
mod leaving;
mod queue;
mod support;
mod upstream_answers;
