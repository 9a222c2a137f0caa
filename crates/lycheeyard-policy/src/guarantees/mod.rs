mod bounds;
mod check;
mod misfit;
mod packing;
mod shortfall;
mod slices;

pub use check::check_guarantees;
pub use misfit::{GuaranteeMisfit, LeastChange};
pub(crate) use packing::{PackingVerdict, pack};
pub use shortfall::guarantee_shortfall;
pub(crate) use slices::{Slice, find_block, pin_slices};
