mod acquire;
mod kept;
mod run;
mod settle;

pub(crate) use run::{run, status};
