mod check;

pub use check::{GuaranteeMisfit, check_guarantees};
