//! The entry daemon as a library: settings, wiring and signals.

mod access;
mod api;
mod logs;
mod metrics;
mod node;
mod settings;

pub use access::{AccessMode, OperatorKeys};
pub use logs::start_logs;
pub use node::{EntryNode, NodeError};
pub use settings::{LogFilter, LogFormat, Settings, SettingsError, SettingsStep, read_settings};
