mod error;
mod flag;
mod options;
mod read;

pub use error::SettingsError;
pub use options::Settings;
pub use read::{StartupAction, read_settings};
