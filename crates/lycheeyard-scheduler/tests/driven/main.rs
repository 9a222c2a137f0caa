//! Runs real schedulers against stand-ins of the store and the workers that fail on demand.

mod evacuation;
mod gangs;
mod odd_records;
mod outage;
mod support;
mod takeover;
mod waves;
