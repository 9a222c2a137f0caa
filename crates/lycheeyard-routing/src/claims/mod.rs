mod acquire;
mod finish;
mod run;
mod stored_answer;

pub(crate) use run::{claim_status, run};
