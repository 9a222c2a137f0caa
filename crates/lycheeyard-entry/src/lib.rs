//! The entry daemon as a library: its settings, and an instance that serves callers, operators and peers.

mod access;
mod api;
mod metrics;
mod node;
mod settings;

pub use access::{AccessMode, OperatorKeys};
pub use lycheeyard_logs::{LogFilter, LogFormat};
pub use node::{EntryNode, NodeError};
pub use settings::{Settings, SettingsError, StartupAction, read_settings};
