mod block;
mod layout;
mod masks;
mod windows;

pub(crate) use block::Block;
pub(crate) use layout::Layout;
pub(crate) use masks::{best_run, full_mask, longest_run};
pub(crate) use windows::Windows;
