mod acquire;
mod run;
mod settle;
mod stored_answer;

pub(crate) use run::{claim_status, run};
