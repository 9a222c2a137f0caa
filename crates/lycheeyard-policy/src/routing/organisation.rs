use super::{Allowance, TokenBucket};
use lycheeyard_protocol::OrganisationId;
use std::{collections::BTreeMap, time::Duration};

/// Virtual time by which one request advances the pass of an organisation of weight 1.
const PASS_UNIT: u64 = 1 << 20;

/// The current usage of an organisation at this instance.
#[derive(Clone, Debug)]
pub(super) struct OrganisationUsage {
    pub allowance: Allowance,
    pub running: u32,
    pub accepted: u32,
    pub pass: u64,
    bucket: TokenBucket,
}

impl OrganisationUsage {
    fn new(allowance: Allowance, now: Duration) -> Self {
        Self {
            bucket: TokenBucket::new(allowance.rate, now),
            running: 0,
            accepted: 0,
            pass: 0,
            allowance,
        }
    }

    pub fn take_token(&mut self, now: Duration) -> Result<(), Duration> {
        self.bucket.take(now)?;
        self.accepted += 1;
        Ok(())
    }

    pub fn may_run(&self) -> bool {
        self.running < self.allowance.concurrency.max(1)
    }

    /// Counts a started request and advances the organisation's pass, which puts it later in the order.
    pub fn start_request(&mut self, min_pass: u64) {
        self.running += 1;
        self.pass = self.pass.max(min_pass) + PASS_UNIT / u64::from(self.allowance.weight.max(1));
    }
}

/// All organisations at this instance.
pub(super) type OrganisationTable = BTreeMap<OrganisationId, OrganisationUsage>;

/// Replaces the allowances; organisations that are no longer configured are kept while they have running requests.
pub(super) fn set_allowances(
    table: &mut OrganisationTable,
    allowances: &BTreeMap<OrganisationId, Allowance>,
    now: Duration,
) {
    table.retain(|id, usage| usage.running > 0 || allowances.contains_key(id));
    for (id, &allowance) in allowances {
        let usage = table
            .entry(id.clone())
            .or_insert_with(|| OrganisationUsage::new(allowance, now));
        if usage.allowance.rate != allowance.rate {
            usage.bucket.set_rate(allowance.rate, now);
        }
        usage.allowance = allowance;
    }
}
