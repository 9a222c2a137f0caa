mod claim;
mod guarantee;
mod host;
mod hosts;
mod order;
mod place;
mod preempt;
mod round;
mod unit;

pub(crate) use claim::Claim;
