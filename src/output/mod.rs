mod json;
mod table;
mod time;

pub use json::format_json;
pub use table::Table;
pub use time::format_utc;
