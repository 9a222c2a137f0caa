mod choice;
mod draw;
mod events;
mod overload;
mod scenario;
mod sharing;
mod summary;

pub use choice::{ChoiceTiming, measure_choice};
pub use overload::{OverloadPolicy, OverloadResult, run_overload};
pub use scenario::{Scenario, Sharing};
pub use sharing::{SharingResult, run_sharing};
pub use summary::Summary;
