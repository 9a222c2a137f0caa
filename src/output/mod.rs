mod table;

pub use table::Table;
