mod show;

pub use show::run;
