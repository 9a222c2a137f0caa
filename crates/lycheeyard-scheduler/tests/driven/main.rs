//! Schedulers that drive worker and store stand-ins through faults.

mod gangs;
mod outage;
mod support;
mod takeover;
mod waves;
