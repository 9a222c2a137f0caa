//! The entry daemon as a library: settings, wiring and signals.

mod api;
mod logs;
mod node;
mod settings;

pub use logs::start_logs;
pub use node::{EntryNode, NodeError};
pub use settings::{LogFormat, Settings, SettingsError, SettingsStep, read_settings};
