mod choice;
mod completion_times;
mod draw;
mod events;
mod overload;
mod scenario;
mod sharing;

pub use choice::{ChoiceTiming, measure_choice};
pub use completion_times::CompletionTimes;
pub use overload::{OverloadPolicy, OverloadResult, run_overload};
pub use scenario::{Scenario, Sharing};
pub use sharing::{SharingResult, run_sharing};
