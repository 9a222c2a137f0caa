mod refresh;
mod update_loop;
mod usage;
mod usage_report;

pub(crate) use refresh::{refresh, refresh_if_config_changed};
pub(crate) use update_loop::run_update_loop;
pub(crate) use usage::UsageTable;
pub(crate) use usage_report::answer_usage_report;
