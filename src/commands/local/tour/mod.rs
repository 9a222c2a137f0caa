mod check;
mod documents;
mod progress;
mod run;

pub use run::Tour;
