mod events;
mod machine;
mod plan;
mod wave;
mod wave_entry;

pub use events::MaintenanceAnswer;
pub use machine::{MachineInfo, MachineState};
pub use wave::{Wave, WaveNumber, WaveProgress, WaveState};
pub(crate) use wave_entry::WaveEntry;
