mod free_map;
mod search;

pub use free_map::FreeMap;
pub use search::find_placement;
