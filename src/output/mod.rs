mod table;
mod time;

pub use table::Table;
pub use time::utc;
