mod driver;
mod task_id;
mod view;

pub use driver::GangDriver;
pub use task_id::task_id;
pub use view::{GangStatus, GangView, ObservedTask, TaskObservation};
