//! The entry daemon as a library: settings, wiring and signals.

mod access;
mod api;
mod metrics;
mod node;
mod settings;

pub use access::{AccessMode, OperatorKeys};
pub use lycheeyard_logs::{LogFilter, LogFormat};
pub use node::{EntryNode, NodeError};
pub use settings::{Settings, SettingsError, StartupAction, read_settings};
