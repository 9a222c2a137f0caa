mod memory;
mod run;

use memory::Memory;
pub use run::Rounds;
