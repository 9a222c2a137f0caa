//! Random interleavings of the protocols with a faulty store, each checked against a naive single copy.
//!
//! `LYCHEEYARD_MODEL_CASES` sets the number of runs of each correct protocol.

mod broken;
mod fake_store;
mod fate;
mod lease;
mod run;
mod ticket_steps;
mod tickets;
