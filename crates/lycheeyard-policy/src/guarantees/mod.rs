mod bounds;
mod check;
mod infeasible;
mod packing;
mod shortfall;
mod slices;

pub use check::check_guarantees;
pub use infeasible::{InfeasibleGuarantees, SmallestChange};
pub(crate) use packing::{PackingVerdict, pack};
pub use shortfall::guarantee_shortfall;
pub(crate) use slices::{Slice, assign_slices, find_block};
