mod pulse;
mod refresh;
mod update_loop;
mod usage;

pub(crate) use pulse::answer_pulse;
pub(crate) use refresh::{refresh, refresh_if_config_changed};
pub(crate) use update_loop::run_update_loop;
pub(crate) use usage::UsageTable;
