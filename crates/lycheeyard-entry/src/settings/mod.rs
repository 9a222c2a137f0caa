mod error;
mod log_format;
mod options;
mod read;

pub use error::SettingsError;
pub use log_format::LogFormat;
pub use options::Settings;
pub use read::{SettingsStep, read_settings};
