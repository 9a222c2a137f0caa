mod error;
mod figures;
mod measure;
mod point;
mod process;

pub use error::CostError;
pub use figures::CostFigures;
pub use measure::measure_cost;
pub use point::CostPoint;
