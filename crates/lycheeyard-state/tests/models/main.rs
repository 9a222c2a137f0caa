//! State-machine models of the ticket and lease protocols. They run random interleavings of several instances
//! on a store that loses, delays and duplicates calls, and compare the results with one reference state.
//!
//! The models guard against accepted tickets that are lost, reordered or replaced, and against two holders of
//! a lease. Deliberately broken store variants and holders show that the models detect such faults.
//!
//! `LYCHEEYARD_MODEL_CASES` sets the number of runs of each correct protocol.

mod delivery;
mod fake_store;
mod lease;
mod lease_steps;
mod run;
mod store_variants;
mod ticket_steps;
mod tickets;
