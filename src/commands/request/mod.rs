mod send;

pub use send::run;
