mod table;
mod time;

pub use table::Table;
pub use time::format_utc;
